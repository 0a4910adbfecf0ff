#ifndef ACACIACROSS_DISCOVERY_STORECHANGE_H
#define ACACIACROSS_DISCOVERY_STORECHANGE_H

#include "Discovery/StoreItem.h"

namespace acaciacross::discovery {

/// A write or a removal of a key in the store.
struct StoreChange {
  StoreItem Item;
  bool IsRemoval = false;
};

} // namespace acaciacross::discovery

#endif
