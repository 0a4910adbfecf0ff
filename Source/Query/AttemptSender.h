#ifndef ACACIACROSS_QUERY_ATTEMPTSENDER_H
#define ACACIACROSS_QUERY_ATTEMPTSENDER_H

#include "Query/AttemptSpec.h"

namespace acaciacross::query {

/// Sends attempts to searchers. Each started attempt that is not cancelled ends
/// with exactly one AttemptResult, which is passed to its QueryExecution.
class AttemptSender {
public:
  virtual ~AttemptSender() = default;

  virtual void start(const AttemptSpec &Spec) = 0;

  /// Cancels an attempt; its result is not delivered. Unknown ids are ignored.
  virtual void cancel(const common::AttemptId &Id) = 0;
};

} // namespace acaciacross::query

#endif
