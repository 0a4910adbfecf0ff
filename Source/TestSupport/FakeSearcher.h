#ifndef ACACIACROSS_TESTSUPPORT_FAKESEARCHER_H
#define ACACIACROSS_TESTSUPPORT_FAKESEARCHER_H

#include "Common/AttemptId.h"

#include <cstdint>
#include <deque>
#include <unordered_set>

namespace acaciacross::testsupport {

/// State of one fake searcher.
struct FakeSearcher {
  bool IsAlive = true;
  std::unordered_set<common::SnapshotId> DroppedSnapshots;
  std::unordered_set<common::AttemptId> Running;
  std::deque<common::AttemptId> Queue;
  /// One in N requests fails soon after its work has started; 0: none.
  std::uint64_t FailsOneIn = 0;
};

} // namespace acaciacross::testsupport

#endif
