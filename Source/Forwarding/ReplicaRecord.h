#ifndef ACACIACROSS_FORWARDING_REPLICARECORD_H
#define ACACIACROSS_FORWARDING_REPLICARECORD_H

#include "Common/Time.h"
#include "Forwarding/SearcherEntry.h"
#include "Forwarding/SearcherLoad.h"

#include <chrono>
#include <optional>
#include <set>

namespace acaciacross::forwarding {

/// What this VM has learned of one searcher from its own attempts.
class ReplicaRecord {
public:
  explicit ReplicaRecord(SearcherEntry Published);

  const SearcherEntry &entry() const;
  /// Takes a new entry of the same id; a restarted searcher starts afresh.
  void update(SearcherEntry Published);
  void markRemoved();
  /// Listed and not leaving.
  bool isListed() const;

  void onSent(common::MonotonicTime Now);
  /// The attempt that was sent at SentAt has ended.
  void onEnded(common::MonotonicTime SentAt);
  /// Typical: the usual latency of attempts of the same route.
  void onAnswered(common::MonotonicTime Now, std::chrono::nanoseconds Latency,
                  std::chrono::nanoseconds Typical);
  /// It rejected an attempt because it is full.
  void onBusy(common::MonotonicTime Now);
  /// It answered with an error, broke off, or stayed silent.
  void onFailed(common::MonotonicTime Now);
  /// No connection, or a connection that stays silent.
  void onUnreachable(common::MonotonicTime Now);
  void onLoad(common::MonotonicTime Now, const SearcherLoad &Said);

  /// False for a while after it could not be reached, and then until the one
  /// attempt that tries it again has ended.
  bool isReachable(common::MonotonicTime Now) const;
  /// Whether it leaves attempts unanswered for much longer than a pause lasts.
  bool isSilent(common::MonotonicTime Now,
                std::chrono::nanoseconds Typical) const;
  /// Requests that waited there for each of its slots, as a reply told it a
  /// moment ago; empty when none did.
  std::optional<double> queuePerSlot(common::MonotonicTime Now) const;
  /// Latency that a new attempt may expect; for comparison between replicas.
  std::chrono::nanoseconds
  expectedDelay(common::MonotonicTime Now,
                std::chrono::nanoseconds Typical) const;
  /// Moving average of its latency against the usual one; 1 is usual.
  double slowness(common::MonotonicTime Now) const;
  /// Moving share of failed attempts, 0 to 1.
  double failures(common::MonotonicTime Now) const;
  std::size_t running() const;

private:
  SearcherEntry Entry;
  bool Removed = false;
  std::multiset<common::MonotonicTime> Outstanding;
  double Slowness = 1.0;
  common::MonotonicTime SlownessAt;
  double Failures = 0.0;
  common::MonotonicTime FailuresAt;
  common::MonotonicTime BusyUntil;
  common::MonotonicTime UnreachableUntil;
  std::chrono::milliseconds NextBackOff{0};
  SearcherLoad Load;
  common::MonotonicTime LoadAt;
};

} // namespace acaciacross::forwarding

#endif
