#ifndef ACACIACROSS_DISCOVERY_STORECHANGES_H
#define ACACIACROSS_DISCOVERY_STORECHANGES_H

#include "Discovery/StoreChange.h"
#include "Discovery/StoreStatus.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciacross::discovery {

/// The changes after a revision.
struct StoreChanges {
  StoreStatus Status = StoreStatus::Unavailable;
  std::vector<StoreChange> Changes;
  /// All changes up to this revision are included.
  std::uint64_t Revision = 0;
  /// Why the store is unavailable, for logs.
  std::string Problem;
};

} // namespace acaciacross::discovery

#endif
