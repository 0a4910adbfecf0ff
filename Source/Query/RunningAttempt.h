#ifndef ACACIACROSS_QUERY_RUNNINGATTEMPT_H
#define ACACIACROSS_QUERY_RUNNINGATTEMPT_H

#include "Common/AttemptId.h"

#include <cstdint>

namespace acaciacross::query {

/// An attempt whose end is awaited.
struct RunningAttempt {
  common::AttemptId Id;
  /// In ServiceView::Searchers.
  std::uint32_t SearcherPosition = 0;
  bool IsHedge = false;
};

} // namespace acaciacross::query

#endif
