#ifndef ACACIACROSS_DISCOVERY_STOREFOLLOWER_H
#define ACACIACROSS_DISCOVERY_STOREFOLLOWER_H

#include "Common/Clock.h"
#include "Common/RandomSource.h"
#include "Discovery/StoreListener.h"
#include "Discovery/StoreReader.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace acaciacross::discovery {

/// Schedules the calls to the store: reads all items once, then watches for
/// changes. To limit the load on the store, changes that follow each other
/// closely are read in one call, and calls after a failure back off.
class StoreFollower {
public:
  StoreFollower(StoreListener &Listener, const common::Clock &Time,
                common::RandomSource &Random);

  /// Makes the next call and returns the time to wait before the one after it.
  /// PeerRevision: the revision up to which changes are known from peers.
  std::chrono::milliseconds poll(StoreReader &Store,
                                 std::uint64_t PeerRevision);

private:
  std::chrono::milliseconds readAll(StoreReader &Store);
  std::chrono::milliseconds watch(StoreReader &Store);
  std::chrono::milliseconds onFailure(const std::string &Problem);
  void onSuccess(ReadConsistency Consistency);

  StoreListener &Listener;
  const common::Clock &Time;
  common::RandomSource &Random;
  /// The revision up to which changes are known; empty if all items have to be
  /// read.
  std::optional<std::uint64_t> KnownRevision;
  /// Whether all items were read before.
  bool HasReadAll = false;
  common::MonotonicTime CalledAt;
  unsigned Failures = 0;
  bool IsUnavailable = false;
};

} // namespace acaciacross::discovery

#endif
