#ifndef ACACIACROSS_QUERY_ATTEMPTPORT_H
#define ACACIACROSS_QUERY_ATTEMPTPORT_H

#include "Query/AttemptSpec.h"

namespace acaciacross::query {

/// Sends attempts to searchers. Each started attempt ends with exactly one
/// AttemptResult given to its execution, unless it was cancelled.
class AttemptPort {
public:
  virtual ~AttemptPort() = default;

  virtual void start(const AttemptSpec &Spec) = 0;

  /// Stops an attempt; its reply is never delivered. Unknown ids are ignored.
  virtual void cancel(const common::AttemptId &Id) = 0;
};

} // namespace acaciacross::query

#endif
