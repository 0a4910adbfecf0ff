#ifndef ACACIACROSS_TRAFFIC_ENDEDATTEMPT_H
#define ACACIACROSS_TRAFFIC_ENDEDATTEMPT_H

#include "Query/AttemptResult.h"

namespace acaciacross::traffic {

/// Result of an ended attempt and the searcher that it was sent to.
struct EndedAttempt {
  common::SearcherIndex Searcher;
  query::AttemptResult Result;
};

} // namespace acaciacross::traffic

#endif
