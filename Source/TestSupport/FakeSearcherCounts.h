#ifndef ACACIACROSS_TESTSUPPORT_FAKESEARCHERCOUNTS_H
#define ACACIACROSS_TESTSUPPORT_FAKESEARCHERCOUNTS_H

#include <chrono>
#include <cstdint>

namespace acaciacross::testsupport {

/// Totals over all fake searchers.
struct FakeSearcherCounts {
  std::uint64_t Sent = 0;
  std::uint64_t Executed = 0;
  std::uint64_t Shed = 0;
  std::uint64_t Expired = 0;
  std::uint64_t Failed = 0;
  /// Cancelled before the work started, at no cost to the searcher.
  std::uint64_t CancelledBeforeStart = 0;
  /// Cancelled while the work was running.
  std::uint64_t CancelledRunning = 0;
  /// Time that slots spent on work before it was cancelled.
  std::chrono::nanoseconds CancelledWork{0};
  /// Time that slots were busy.
  std::chrono::nanoseconds Busy{0};
};

} // namespace acaciacross::testsupport

#endif
