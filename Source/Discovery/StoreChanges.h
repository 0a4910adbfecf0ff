#ifndef ACACIACROSS_DISCOVERY_STORECHANGES_H
#define ACACIACROSS_DISCOVERY_STORECHANGES_H

#include "Discovery/StoreChange.h"
#include "Discovery/StoreStatus.h"

#include <cstdint>
#include <string>
#include <vector>

namespace acaciacross::discovery {

/// What changed after a revision.
struct StoreChanges {
  StoreStatus Status = StoreStatus::Unavailable;
  std::vector<StoreChange> Changes;
  /// Later changes come after this revision.
  std::uint64_t Revision = 0;
  /// Why it is unavailable, for logs.
  std::string Problem;
};

} // namespace acaciacross::discovery

#endif
