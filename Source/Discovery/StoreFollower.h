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

/// Decides what to ask of the store and when: everything once, then what
/// changes. Answers the load that watches put on the store: changes that come
/// close together are taken in one call, and failed calls are spaced out.
class StoreFollower {
public:
  StoreFollower(StoreListener &Receiver, const common::Clock &TimeSource,
                common::RandomSource &RandomNumbers);

  /// Makes the next call; gives the time to wait before the one after it.
  /// KnownElsewhere: changes up to this revision have come from peers.
  std::chrono::milliseconds step(StoreReader &Store,
                                 std::uint64_t KnownElsewhere);

private:
  std::chrono::milliseconds readAll(StoreReader &Store);
  std::chrono::milliseconds watch(StoreReader &Store);
  std::chrono::milliseconds onFailure(const std::string &Problem);
  void onSuccess(ReadAge Age);

  StoreListener &Listener;
  const common::Clock &Time;
  common::RandomSource &Random;
  /// Changes up to here are known; empty when everything has to be read.
  std::optional<std::uint64_t> Known;
  /// Whether everything was read before.
  bool HasRead = false;
  common::MonotonicTime CalledAt;
  unsigned Failures = 0;
  bool IsAway = false;
};

} // namespace acaciacross::discovery

#endif
