#ifndef ACACIACROSS_FORWARDING_REPLICARECORD_H
#define ACACIACROSS_FORWARDING_REPLICARECORD_H

#include "Common/Time.h"
#include "Forwarding/ColdStartAllowance.h"
#include "Forwarding/SearcherEntry.h"
#include "Forwarding/SearcherLoad.h"

#include <chrono>
#include <optional>
#include <set>

namespace acaciacross::forwarding {

/// Observations about one searcher from this VM's own attempts.
class ReplicaRecord {
public:
  explicit ReplicaRecord(SearcherEntry Published);

  const SearcherEntry &entry() const;
  /// Replaces the entry by a new one with the same id. Resets the observations
  /// if the searcher was restarted.
  void update(SearcherEntry Published);
  void markRemoved();
  /// Whether the failure domain of the searcher is evacuated.
  void setEvacuated(bool NewEvacuated);
  /// Whether the searcher is published, not draining, not in an evacuated
  /// failure domain and has not announced in a response that it leaves.
  bool isListed() const;
  /// Whether an attempt may be sent to the searcher now: it is listed,
  /// reachable, has not asked for a pause and has some of its allowance left
  /// if it is cold.
  bool isUsable(common::MonotonicTime Now) const;

  ColdStartAllowance &coldStart();
  const ColdStartAllowance &coldStart() const;

  void onSent(common::MonotonicTime Now);
  /// Ends the attempt that was sent at SentAt.
  void onAttemptEnded(common::MonotonicTime SentAt);
  /// Typical: typical latency of attempts of the same route.
  void onAnswered(common::MonotonicTime Now, std::chrono::nanoseconds Latency,
                  std::chrono::nanoseconds Typical);
  /// The searcher rejected an attempt because it is full.
  void onBusy(common::MonotonicTime Now);
  /// The searcher returned an error, closed the connection or did not respond.
  void onFailed(common::MonotonicTime Now);
  /// No connection could be established, or the connection does not respond.
  void onUnreachable(common::MonotonicTime Now);
  /// The searcher has announced that it leaves. Holds until it is restarted.
  void onLeaving();
  /// The searcher must get nothing until the given time.
  void onPauseRequested(common::MonotonicTime Until);
  void onLoadReported(common::MonotonicTime Now, const SearcherLoad &Reported);

  /// False for a back-off time after a failed connection, and then while a
  /// single trial attempt is outstanding.
  bool isReachable(common::MonotonicTime Now) const;
  /// Whether a pause that the searcher asked for is not over.
  bool isPaused(common::MonotonicTime Now) const;
  /// The end of the pause that the searcher asked for last; in the past when
  /// there is none.
  common::MonotonicTime pausedUntil() const;
  bool isLeaving() const;
  /// Whether an attempt is unanswered for much longer than a usual pause of a
  /// searcher lasts.
  bool isUnresponsive(common::MonotonicTime Now,
                      std::chrono::nanoseconds Typical) const;
  /// Waiting requests per slot of the searcher, as reported by a recent reply;
  /// empty without one.
  std::optional<double> queuePerSlot(common::MonotonicTime Now) const;
  /// Expected latency of a new attempt, for comparison between replicas.
  std::chrono::nanoseconds
  expectedDelay(common::MonotonicTime Now,
                std::chrono::nanoseconds Typical) const;
  /// Moving average of latency divided by typical latency; 1 is typical.
  double latencyRatio(common::MonotonicTime Now) const;
  /// How long work takes on the searcher's machine, as it said last; 1 is as
  /// usual. Empty without a recent report.
  std::optional<double> slowness(common::MonotonicTime Now) const;
  /// Moving average of the share of failed attempts, 0 to 1.
  double failureRate(common::MonotonicTime Now) const;
  std::size_t running() const;

private:
  /// Latency ratio of a new attempt: the measured one, or as far as the report
  /// is fresh, the reported slowness and the measured ratio without it.
  double expectedRatio(common::MonotonicTime Now) const;
  /// A moving average as of its last sample, decayed since.
  double decayedRatio(double Ratio, common::MonotonicTime Now) const;

  SearcherEntry Entry;
  bool Removed = false;
  bool Leaving = false;
  bool Evacuated = false;
  ColdStartAllowance ColdStart;
  common::MonotonicTime PausedUntil;
  std::multiset<common::MonotonicTime> Outstanding;
  double LatencyRatio = 1.0;
  /// The same, of latencies divided by the slowness reported with them.
  double UnexplainedRatio = 1.0;
  common::MonotonicTime LatencyRatioAt;
  double FailureRate = 0.0;
  common::MonotonicTime FailureRateAt;
  common::MonotonicTime BusyUntil;
  common::MonotonicTime UnreachableUntil;
  std::chrono::milliseconds NextBackOff{0};
  SearcherLoad Load;
  common::MonotonicTime LoadAt;
};

} // namespace acaciacross::forwarding

#endif
