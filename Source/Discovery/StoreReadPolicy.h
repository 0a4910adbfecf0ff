#ifndef ACACIACROSS_DISCOVERY_STOREREADPOLICY_H
#define ACACIACROSS_DISCOVERY_STOREREADPOLICY_H

#include "Common/StorePosition.h"
#include "Common/Time.h"
#include "Discovery/FallbackRank.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace acaciacross::discovery {

/// Decides whether this VM reads the store itself. To limit the load of a fleet
/// on the store, only a few elected readers read it while their peers learn of
/// fresh answers. When they do not, the other VMs begin one after another, so
/// that the first answer keeps the rest from calling.
class StoreReadPolicy {
public:
  /// MaxChangeDelay is the time within which a change must be in effect.
  explicit StoreReadPolicy(std::chrono::milliseconds MaxChangeDelay);

  /// Records that this VM knows all changes that the store had at the given
  /// time, which was in the given era of it.
  void recordAnswer(common::MonotonicTime At, std::uint64_t Era = 0);
  /// Records that a peer reports this of itself. Nothing follows for this VM
  /// while it lacks changes that the peer knows, or is in another era.
  void recordPeerAnswer(common::MonotonicTime At,
                        common::StorePosition PeerPosition,
                        common::StorePosition OwnPosition);
  /// Returns the time since the newest answer, at most a minute; a minute if
  /// there was none.
  std::chrono::milliseconds answerAge(common::MonotonicTime Now) const;
  /// The same for peers: the time since the newest answer of the given era.
  std::chrono::milliseconds reportedAge(common::MonotonicTime Now,
                                        std::uint64_t Era) const;

  /// Whether this VM must read the store now. IsElected: this VM is one of the
  /// elected readers. HasSnapshot: this VM has all published items, from the
  /// store or from a peer.
  bool mustRead(common::MonotonicTime Now, bool IsElected, bool HasSnapshot,
                const FallbackRank &Rank);

  /// Longest time between two calls of this VM while the store does not answer.
  /// The VMs of a large fleet that are no elected readers share a fixed rate.
  static std::chrono::milliseconds maxBackOff(bool IsElected, bool HasSnapshot,
                                              const FallbackRank &Rank);

private:
  /// Age of the newest answer from which the VM of this rank reads.
  std::chrono::milliseconds fallbackAge(const FallbackRank &Rank) const;

  std::chrono::milliseconds MaxAnswerAge;
  std::chrono::milliseconds FallbackSpread;
  std::optional<common::MonotonicTime> AnsweredAt;
  /// The newest era of an answer, and its newest answer.
  std::uint64_t AnswerEra = 0;
  std::optional<common::MonotonicTime> EraAnsweredAt;
  /// When this VM first had all published items.
  std::optional<common::MonotonicTime> SnapshotAt;
  common::MonotonicTime ReadsUntil;
};

} // namespace acaciacross::discovery

#endif
