#ifndef ACACIACROSS_DISCOVERY_STOREREADCONTROL_H
#define ACACIACROSS_DISCOVERY_STOREREADCONTROL_H

#include <cstdint>

namespace acaciacross::discovery {

/// Turns reading of the store on and off. Thread-safe.
class StoreReadControl {
public:
  virtual ~StoreReadControl() = default;

  /// KnownUpTo: the revision up to which all changes are known from peers.
  virtual void setReadingEnabled(bool IsReading, std::uint64_t KnownUpTo) = 0;
};

} // namespace acaciacross::discovery

#endif
