#ifndef ACACIACROSS_UNITTESTS_QUERY_FINISHEDQUERY_H
#define ACACIACROSS_UNITTESTS_QUERY_FINISHEDQUERY_H

#include "Query/Outcome.h"
#include "Query/QueryRequest.h"
#include "Query/QueryStatistics.h"

#include <cstddef>

namespace acaciacross::query {

/// A query of a schedule as it was when it finished.
struct FinishedQuery {
  QueryRequest Request;
  Outcome Result;
  QueryStatistics Statistics;
  /// Number of replies that had been delivered by then.
  std::size_t Delivered = 0;
};

} // namespace acaciacross::query

#endif
