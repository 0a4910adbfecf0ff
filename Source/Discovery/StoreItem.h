#ifndef ACACIACROSS_DISCOVERY_STOREITEM_H
#define ACACIACROSS_DISCOVERY_STOREITEM_H

#include "Common/StorePosition.h"

#include <string>

namespace acaciacross::discovery {

/// One published value.
struct StoreItem {
  std::string Key;
  std::string Value;
  /// Where it was written, or was found in a later era.
  common::StorePosition Position;
};

} // namespace acaciacross::discovery

#endif
