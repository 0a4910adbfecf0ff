#ifndef ACACIACROSS_STANDINS_PLATFORM_CALLLIMITER_H
#define ACACIACROSS_STANDINS_PLATFORM_CALLLIMITER_H

#include "Common/Time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace acaciacross::standins {

/// Limits calls per second. A call counts for one second from its start; one
/// that is still open after that goes on counting as one call.
class CallLimiter {
public:
  explicit CallLimiter(std::size_t CallsPerSecond);

  /// Empty when the limit is reached; else what end() takes.
  std::optional<std::uint64_t> begin(common::MonotonicTime Now);
  void end(std::uint64_t Call);

  std::uint64_t accepted() const;
  std::uint64_t refused() const;
  std::size_t open() const;
  /// Highest number of calls that counted at one moment.
  std::size_t peak() const;

private:
  std::size_t counting(common::MonotonicTime Now);

  std::size_t CallsPerSecond;
  std::deque<common::MonotonicTime> Recent;
  /// By call number, so in the order of the starts.
  std::map<std::uint64_t, common::MonotonicTime> OpenCalls;
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;
  std::size_t Peak = 0;
};

} // namespace acaciacross::standins

#endif
