#ifndef ACACIACROSS_DISCOVERY_STORECHANGE_H
#define ACACIACROSS_DISCOVERY_STORECHANGE_H

#include "Discovery/StoreItem.h"

namespace acaciacross::discovery {

/// A value that was written, or a key that was removed.
struct StoreChange {
  StoreItem Item;
  bool IsRemoval = false;
};

} // namespace acaciacross::discovery

#endif
