#ifndef ACACIACROSS_UPSTREAMS_FAILURESTATISTICS_H
#define ACACIACROSS_UPSTREAMS_FAILURESTATISTICS_H

#include "Common/Time.h"
#include "Query/AttemptStatus.h"

#include <cstdint>
#include <optional>

namespace acaciacross::upstreams {

/// Results of recent attempts at one searcher.
class FailureStatistics {
public:
  void add(query::AttemptStatus Status, common::MonotonicTime At);

  /// Forgets the failures, for a searcher that gets another chance.
  void clear();

  /// 2 for each failure and 1 for each cancelled attempt since the last
  /// response. A searcher that hangs shows only as cancelled attempts when
  /// every query gets its answer from another replica first.
  std::uint32_t failureScore() const;

  /// Attempts with a result in the current and the previous period of 5 s, and
  /// those of them that failed.
  std::uint32_t recentResults(common::MonotonicTime Now) const;
  std::uint32_t recentFailures(common::MonotonicTime Now) const;

  /// The last result was a failure.
  bool isFailing() const;
  std::optional<common::MonotonicTime> lastResultAt() const;
  std::optional<common::MonotonicTime> lastResponseAt() const;

private:
  struct Period {
    std::int64_t Number = -1;
    std::uint32_t Results = 0;
    std::uint32_t Failures = 0;
  };

  Period recent(common::MonotonicTime Now) const;
  Period &periodOf(common::MonotonicTime At);

  Period Periods[2];
  std::uint32_t Score = 0;
  bool Failing = false;
  std::optional<common::MonotonicTime> LastResult;
  std::optional<common::MonotonicTime> LastResponse;
};

} // namespace acaciacross::upstreams

#endif
