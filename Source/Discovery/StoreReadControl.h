#ifndef ACACIACROSS_DISCOVERY_STOREREADCONTROL_H
#define ACACIACROSS_DISCOVERY_STOREREADCONTROL_H

#include "Discovery/StoreReadMode.h"

namespace acaciacross::discovery {

/// Controls how the store is read. Thread-safe.
class StoreReadControl {
public:
  virtual ~StoreReadControl() = default;

  virtual void setMode(const StoreReadMode &Mode) = 0;
};

} // namespace acaciacross::discovery

#endif
