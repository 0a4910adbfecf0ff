#ifndef ACACIACROSS_TESTSUPPORT_FAKESEARCHERSETTINGS_H
#define ACACIACROSS_TESTSUPPORT_FAKESEARCHERSETTINGS_H

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace acaciacross::testsupport {

/// Settings of all fake searchers. A fault of "one in N" never happens when N
/// is 0.
struct FakeSearcherSettings {
  std::size_t Slots = 2;
  /// Maximum number of requests that wait for a slot; a searcher sheds further
  /// ones.
  std::size_t QueueLimit = 2;
  /// Service times are distributed uniformly between half of this and one and a
  /// half times this.
  std::chrono::nanoseconds MeanServiceTime = std::chrono::milliseconds(4);
  /// The service time is SlowFactor times as long.
  std::uint64_t SlowReplyOneIn = 0;
  std::uint32_t SlowFactor = 20;
  /// Delay in each direction.
  std::chrono::nanoseconds NetworkDelay = std::chrono::microseconds(500);

  /// The connection breaks after the work is done and before the reply.
  std::uint64_t LostReplyOneIn = 0;
  /// The reply belongs to another attempt.
  std::uint64_t SwappedReplyOneIn = 0;
  /// The reply names another snapshot, shard or key range.
  std::uint64_t WrongReplyOneIn = 0;
  /// The reply of a cancelled attempt is delivered nevertheless.
  std::uint64_t LateReplyOneIn = 0;

  /// False in long runs, where the records would take too much memory.
  bool KeepsRecords = true;
};

} // namespace acaciacross::testsupport

#endif
