#ifndef ACACIACROSS_DISCOVERY_STOREREADMODE_H
#define ACACIACROSS_DISCOVERY_STOREREADMODE_H

#include "Common/StorePosition.h"

#include <chrono>

namespace acaciacross::discovery {

/// How this VM reads the store.
struct StoreReadMode {
  bool IsReading = true;
  /// The position up to which all changes are known from peers.
  common::StorePosition KnownPosition;
  /// Longest time between two calls while the store does not answer; longer
  /// than UsualMaxBackOff when the VMs of a large fleet share a rate of calls.
  std::chrono::milliseconds MaxBackOff = UsualMaxBackOff;

  static constexpr std::chrono::milliseconds UsualMaxBackOff{1'000};
};

} // namespace acaciacross::discovery

#endif
