#ifndef ACACIACROSS_TESTSUPPORT_FAKEFLIGHT_H
#define ACACIACROSS_TESTSUPPORT_FAKEFLIGHT_H

#include "Query/AttemptSpec.h"

#include <optional>

namespace acaciacross::testsupport {

/// An attempt on its way through the fake searchers.
struct FakeFlight {
  query::AttemptSpec Spec;
  common::MonotonicTime SentAt;
  /// When the searcher started the work.
  std::optional<common::MonotonicTime> ExecutedAt;
  bool IsCancelled = false;
  bool IsDeliveredThoughCancelled = false;
};

} // namespace acaciacross::testsupport

#endif
