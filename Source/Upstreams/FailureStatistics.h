#ifndef ACACIACROSS_UPSTREAMS_FAILURESTATISTICS_H
#define ACACIACROSS_UPSTREAMS_FAILURESTATISTICS_H

#include "Common/Time.h"
#include "Query/AttemptStatus.h"

#include <cstdint>
#include <optional>

namespace acaciacross::upstreams {

/// Statistics of the recent attempts at one searcher.
class FailureStatistics {
public:
  void add(query::AttemptStatus Status, common::MonotonicTime At);

  /// Clears the recorded failures, for a searcher that is restored or returns.
  void clear();

  /// Sum of 2 for each failure and 1 for each cancelled attempt since the last
  /// response. Cancelled attempts count because a searcher that hangs causes
  /// nothing else when another replica answers every query first.
  std::uint32_t failureScore() const;

  /// Number of attempts with a result in the current and the previous period of
  /// 5 s, and the number of those that failed.
  std::uint32_t recentResults(common::MonotonicTime Now) const;
  std::uint32_t recentFailures(common::MonotonicTime Now) const;

  /// Whether the last result was a failure.
  bool isFailing() const;
  std::optional<common::MonotonicTime> lastResultAt() const;
  std::optional<common::MonotonicTime> lastResponseAt() const;

private:
  struct Period {
    std::int64_t Number = -1;
    std::uint32_t Results = 0;
    std::uint32_t Failures = 0;
  };

  Period sumRecent(common::MonotonicTime Now) const;
  Period &periodOf(common::MonotonicTime At);

  Period Periods[2];
  std::uint32_t Score = 0;
  bool LastResultFailed = false;
  std::optional<common::MonotonicTime> LastResult;
  std::optional<common::MonotonicTime> LastResponse;
};

} // namespace acaciacross::upstreams

#endif
