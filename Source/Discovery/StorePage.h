#ifndef ACACIACROSS_DISCOVERY_STOREPAGE_H
#define ACACIACROSS_DISCOVERY_STOREPAGE_H

#include "Discovery/StoreItem.h"
#include "Discovery/StoreStatus.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciacross::discovery {

/// One page of the published items, in key order.
struct StorePage {
  StoreStatus Status = StoreStatus::Unavailable;
  std::vector<StoreItem> Items;
  bool HasMore = false;
  /// The revision of the store at which the page was read.
  std::uint64_t Revision = 0;
  /// Why the store is unavailable, for logs.
  std::string Problem;
};

} // namespace acaciacross::discovery

#endif
