#ifndef ACACIACROSS_STANDINS_PLATFORM_CHANGESREPLY_H
#define ACACIACROSS_STANDINS_PLATFORM_CHANGESREPLY_H

#include "StandIns/Platform/ChangeEntry.h"

#include <vector>

namespace acaciacross::standins {

/// Contents of a reply to GET /v1/config.
struct ChangesReply {
  std::uint64_t Revision = 0;
  /// True when Changes holds the current value of every key, because individual
  /// changes are no longer available.
  bool Complete = false;
  std::vector<ChangeEntry> Changes;
};

} // namespace acaciacross::standins

#endif
