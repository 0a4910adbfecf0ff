#ifndef ACACIACROSS_TRAFFIC_ENDEDATTEMPT_H
#define ACACIACROSS_TRAFFIC_ENDEDATTEMPT_H

#include "Query/AttemptResult.h"

namespace acaciacross::traffic {

/// End of an attempt with the searcher that it went to.
struct EndedAttempt {
  common::SearcherIndex Searcher;
  query::AttemptResult Result;
};

} // namespace acaciacross::traffic

#endif
