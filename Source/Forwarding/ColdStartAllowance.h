#ifndef ACACIACROSS_FORWARDING_COLDSTARTALLOWANCE_H
#define ACACIACROSS_FORWARDING_COLDSTARTALLOWANCE_H

#include "Common/Time.h"
#include "Forwarding/ColdStartLimit.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace acaciacross::forwarding {

/// Decides whether this VM may send a request to one searcher while that is
/// cold. Without a limit everything is allowed.
class ColdStartAllowance {
public:
  /// The limit holds for any period of this length.
  static constexpr std::chrono::milliseconds Window{1'100};
  /// Higher limits count as this one.
  static constexpr unsigned MaxRequestsPerSecond = 64;

  /// Empty for a service that states no tolerance.
  void setLimit(std::optional<ColdStartLimit> NewLimit);

  /// The searcher has published an entry that is new to this VM.
  void onEntry(common::MonotonicTime Now, std::chrono::milliseconds ColdLeft);
  /// A response says how long the searcher stays cold.
  void onReported(common::MonotonicTime Now,
                  std::chrono::milliseconds ColdLeft);
  /// No connection to the searcher could be set up, so it may be restarted
  /// before the next one.
  void onConnectFailed(common::MonotonicTime Now);
  void onAnswered(common::MonotonicTime Now);
  void onSent(common::MonotonicTime Now);
  /// The attempt that was to be sent at SentAt was not sent.
  void onWithdrawn(common::MonotonicTime SentAt);
  /// A request found no searcher, and this one is used up.
  void onWithheld();

  /// Whether the searcher is cold or may be, and has a limit.
  bool isCold(common::MonotonicTime Now) const;
  /// Whether the searcher is or may soon be known as cold, with or without a
  /// limit.
  bool isMarked(common::MonotonicTime Now) const;
  /// When the searcher will be warm; in the past when it is.
  common::MonotonicTime coldUntil() const;
  /// Whether the searcher is cold and must get nothing from this VM now.
  bool isUsedUp(common::MonotonicTime Now) const;
  /// Whether the searcher is cold and this VM has sent more than its limit,
  /// for example before it learned that the searcher is cold.
  bool isOverdrawn(common::MonotonicTime Now) const;
  /// When the next request is allowed; at most Now unless isUsedUp.
  common::MonotonicTime nextAllowedAt(common::MonotonicTime Now) const;
  const std::optional<ColdStartLimit> &limit() const;
  /// Number of calls of onWithheld.
  std::uint64_t withheldCount() const;

private:
  /// Number of requests that were sent within the window before Now.
  std::size_t sentCount(common::MonotonicTime Now) const;

  std::optional<ColdStartLimit> Limit;
  common::MonotonicTime EntryColdUntil;
  common::MonotonicTime ReportedColdUntil;
  common::MonotonicTime ReportedAt;
  /// Whether the searcher may have been restarted without telling it yet.
  bool MayHaveRestarted = false;
  common::MonotonicTime RestartColdUntil;
  /// Times of the last requests, oldest first.
  std::vector<common::MonotonicTime> RecentSends;
  std::uint64_t Withheld = 0;
};

} // namespace acaciacross::forwarding

#endif
