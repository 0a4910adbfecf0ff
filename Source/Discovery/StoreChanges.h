#ifndef ACACIACROSS_DISCOVERY_STORECHANGES_H
#define ACACIACROSS_DISCOVERY_STORECHANGES_H

#include "Common/StorePosition.h"
#include "Discovery/StoreChange.h"
#include "Discovery/StoreStatus.h"

#include <string>
#include <vector>

namespace acaciacross::discovery {

/// The changes after a revision.
struct StoreChanges {
  StoreStatus Status = StoreStatus::Unavailable;
  std::vector<StoreChange> Changes;
  /// All changes up to this position are included. Its era and those of the
  /// changes are 0 if the store tells none.
  common::StorePosition Position;
  /// Why the store is unavailable, for logs.
  std::string Problem = {};
  /// The era as told, if it is not valid; it counts as not told.
  std::string InvalidEra = {};
};

} // namespace acaciacross::discovery

#endif
