#ifndef ACACIACROSS_QUERY_RUNNINGATTEMPT_H
#define ACACIACROSS_QUERY_RUNNINGATTEMPT_H

#include "Common/AttemptId.h"

#include <cstdint>

namespace acaciacross::query {

/// An attempt that has started and not yet ended.
struct RunningAttempt {
  common::AttemptId Id;
  /// Position of the searcher in ServiceView::Searchers.
  std::uint32_t SearcherPosition = 0;
  bool IsHedge = false;
};

} // namespace acaciacross::query

#endif
