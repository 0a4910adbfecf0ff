#ifndef ACACIACROSS_DISCOVERY_STORESTATUS_H
#define ACACIACROSS_DISCOVERY_STORESTATUS_H

#include <cstdint>

namespace acaciacross::discovery {

/// How a call to the store ended.
enum class StoreStatus : std::uint8_t {
  Answered,
  /// The changes since the given revision are no longer kept.
  HistoryLost,
  /// The store did not answer or refused the call.
  Unavailable,
};

} // namespace acaciacross::discovery

#endif
