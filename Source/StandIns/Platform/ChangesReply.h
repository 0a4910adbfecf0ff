#ifndef ACACIACROSS_STANDINS_PLATFORM_CHANGESREPLY_H
#define ACACIACROSS_STANDINS_PLATFORM_CHANGESREPLY_H

#include "StandIns/Platform/ChangeEntry.h"

#include <vector>

namespace acaciacross::standins {

/// Contents of a reply of GET /v1/config.
struct ChangesReply {
  std::uint64_t Revision = 0;
  bool Complete = false;
  std::vector<ChangeEntry> Changes;
};

} // namespace acaciacross::standins

#endif
