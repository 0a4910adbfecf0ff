#ifndef ACACIACROSS_DISCOVERY_PUBLISHEDCHANGES_H
#define ACACIACROSS_DISCOVERY_PUBLISHEDCHANGES_H

#include "Common/StorePosition.h"
#include "Discovery/StoreChange.h"

#include <vector>

namespace acaciacross::discovery {

/// What a VM passes on of the published state to a peer that knows all changes
/// up to some position.
struct PublishedChanges {
  /// The last change of each key; oldest first unless these are all items.
  std::vector<StoreChange> Changes;
  /// Whether these are all items instead of the changes; keys that are not
  /// among them have been removed.
  bool IsComplete = false;
  /// With the changes the peer knows all up to this position; its revision is
  /// 0 if the sender cannot tell. All changes are of its era.
  common::StorePosition Position;
};

} // namespace acaciacross::discovery

#endif
