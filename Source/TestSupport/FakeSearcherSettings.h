#ifndef ACACIACROSS_TESTSUPPORT_FAKESEARCHERSETTINGS_H
#define ACACIACROSS_TESTSUPPORT_FAKESEARCHERSETTINGS_H

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace acaciacross::testsupport {

/// How fake searchers behave. A fault "one in N" never happens at N = 0.
struct FakeSearcherSettings {
  std::size_t Slots = 2;
  /// Requests that wait for a slot; further ones are shed.
  std::size_t QueueLimit = 2;
  /// Service times are uniform between half of this and one and a half times.
  std::chrono::nanoseconds MeanServiceTime = std::chrono::milliseconds(4);
  std::uint64_t SlowOneIn = 0;
  std::uint32_t SlowFactor = 20;
  /// One way.
  std::chrono::nanoseconds NetworkDelay = std::chrono::microseconds(500);

  /// The work is done but the connection breaks before the reply.
  std::uint64_t LostOneIn = 0;
  /// The reply is that of another attempt.
  std::uint64_t CrossedOneIn = 0;
  /// The reply names another snapshot, shard or key range.
  std::uint64_t WrongOneIn = 0;
  /// The reply of a cancelled attempt is delivered all the same.
  std::uint64_t LateOneIn = 0;

  /// Off in long runs, where the records would take much memory.
  bool KeepsRecords = true;
};

} // namespace acaciacross::testsupport

#endif
