#ifndef ACACIACROSS_STANDINS_PLATFORM_CALLLIMITER_H
#define ACACIACROSS_STANDINS_PLATFORM_CALLLIMITER_H

#include "Common/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace acaciacross::standins {

/// Limits calls per second. A call counts for one second from its start; a call
/// that is still open after that counts as one call until it ends.
class CallLimiter {
public:
  explicit CallLimiter(std::size_t CallsPerSecond);

  /// Starts a call. Returns its number for end(), empty when the limit is
  /// reached.
  std::optional<std::uint64_t> begin(common::MonotonicTime Now);
  void end(std::uint64_t CallNumber);

  std::uint64_t accepted() const;
  std::uint64_t refused() const;
  std::size_t open() const;
  /// Highest number of calls that counted at the same time.
  std::size_t peak() const;

private:
  /// Number of calls that count against the limit.
  std::size_t countCalls(common::MonotonicTime Now);

  std::size_t CallsPerSecond;
  std::deque<common::MonotonicTime> RecentStarts;
  /// Start times by call number, and so in order of the start.
  std::map<std::uint64_t, common::MonotonicTime> OpenCalls;
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;
  std::size_t Peak = 0;
};

} // namespace acaciacross::standins

#endif
