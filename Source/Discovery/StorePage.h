#ifndef ACACIACROSS_DISCOVERY_STOREPAGE_H
#define ACACIACROSS_DISCOVERY_STOREPAGE_H

#include "Common/StorePosition.h"
#include "Discovery/StoreItem.h"
#include "Discovery/StoreStatus.h"

#include <string>
#include <vector>

namespace acaciacross::discovery {

/// One page of the published items, in key order.
struct StorePage {
  StoreStatus Status = StoreStatus::Unavailable;
  std::vector<StoreItem> Items;
  bool HasMore = false;
  /// The position of the store at which the page was read. Its era and those
  /// of the items are 0 if the store tells none.
  common::StorePosition Position;
  /// Why the store is unavailable, for logs.
  std::string Problem = {};
  /// The era as told, if it is not valid; it counts as not told.
  std::string InvalidEra = {};
};

} // namespace acaciacross::discovery

#endif
