#ifndef ACACIACROSS_DISCOVERY_STOREFOLLOWER_H
#define ACACIACROSS_DISCOVERY_STOREFOLLOWER_H

#include "Common/Clock.h"
#include "Common/RandomSource.h"
#include "Common/StorePosition.h"
#include "Discovery/StoreListener.h"
#include "Discovery/StoreReadMode.h"
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
  /// Mode: what this VM knows from peers, and how long it may wait.
  std::chrono::milliseconds poll(StoreReader &Store, const StoreReadMode &Mode);
  /// Reading has ended. The next poll begins anew with a call that is answered
  /// at once.
  void suspend();

private:
  std::chrono::milliseconds readAll(StoreReader &Store);
  std::chrono::milliseconds watch(StoreReader &Store);
  /// Handles what an answer tells of its era. Returns its era, or the known
  /// one if the store tells none.
  std::uint64_t resolveEra(std::uint64_t Told, const std::string &InvalidEra);
  /// An answer is of an older era than the known one, or than another page.
  std::chrono::milliseconds onOldEra();
  std::chrono::milliseconds onFailure(const std::string &Problem);
  void onSuccess();
  StoreAnswer answer(ReadConsistency Consistency,
                     common::MonotonicTime GivenAt) const;

  StoreListener &Listener;
  const common::Clock &Time;
  common::RandomSource &Random;
  /// The position up to which changes are known; empty if all items have to be
  /// read.
  std::optional<common::StorePosition> KnownPosition;
  /// The newest era that the store or a peer has told.
  std::uint64_t KnownEra = 0;
  bool HasToldInvalidEra = false;
  /// Whether the next read of all items may be stale.
  bool MayReadStale = true;
  common::MonotonicTime CalledAt;
  std::chrono::milliseconds MaxBackOff{0};
  /// Whether the next watch is the first one since reading was suspended.
  bool IsResuming = false;
  unsigned Failures = 0;
  bool IsUnavailable = false;
};

} // namespace acaciacross::discovery

#endif
