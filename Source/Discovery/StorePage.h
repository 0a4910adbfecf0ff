#ifndef ACACIACROSS_DISCOVERY_STOREPAGE_H
#define ACACIACROSS_DISCOVERY_STOREPAGE_H

#include "Discovery/StoreItem.h"
#include "Discovery/StoreStatus.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciacross::discovery {

/// A part of everything that is published, in the order of the keys.
struct StorePage {
  StoreStatus Status = StoreStatus::Unavailable;
  std::vector<StoreItem> Items;
  bool HasMore = false;
  /// The store's revision when it read the page.
  std::uint64_t Revision = 0;
  /// Why it is unavailable, for logs.
  std::string Problem;
};

} // namespace acaciacross::discovery

#endif
