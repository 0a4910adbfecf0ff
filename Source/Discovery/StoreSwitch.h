#ifndef ACACIACROSS_DISCOVERY_STORESWITCH_H
#define ACACIACROSS_DISCOVERY_STORESWITCH_H

#include <cstdint>

namespace acaciacross::discovery {

/// Turns reading of the store on and off. Thread-safe.
class StoreSwitch {
public:
  virtual ~StoreSwitch() = default;

  /// KnownUpTo: the revision up to which all changes are known from peers.
  virtual void setReading(bool IsReading, std::uint64_t KnownUpTo) = 0;
};

} // namespace acaciacross::discovery

#endif
