#ifndef ACACIACROSS_TESTSUPPORT_FAKEATTEMPT_H
#define ACACIACROSS_TESTSUPPORT_FAKEATTEMPT_H

#include "Query/AttemptSpec.h"

#include <optional>

namespace acaciacross::testsupport {

/// State of an attempt that was sent to a fake searcher and has not ended.
struct FakeAttempt {
  query::AttemptSpec Spec;
  common::MonotonicTime SentAt;
  /// When the searcher started the work; empty before that.
  std::optional<common::MonotonicTime> StartedAt;
  bool IsCancelled = false;
  bool IsDeliveredAfterCancel = false;
};

} // namespace acaciacross::testsupport

#endif
