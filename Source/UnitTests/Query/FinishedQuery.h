#ifndef ACACIACROSS_UNITTESTS_QUERY_FINISHEDQUERY_H
#define ACACIACROSS_UNITTESTS_QUERY_FINISHEDQUERY_H

#include "Query/Outcome.h"
#include "Query/QueryRequest.h"
#include "Query/QueryStatistics.h"

#include <cstddef>

namespace acaciacross::query {

/// State of a query of a schedule when it finished.
struct FinishedQuery {
  QueryRequest Request;
  Outcome Result;
  QueryStatistics Statistics;
  /// Number of replies delivered to all queries until then.
  std::size_t DeliveredReplies = 0;
};

} // namespace acaciacross::query

#endif
