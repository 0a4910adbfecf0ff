#ifndef ACACIACROSS_STANDINS_SEARCHER_HELDSNAPSHOT_H
#define ACACIACROSS_STANDINS_SEARCHER_HELDSNAPSHOT_H

#include "Common/KeyRange.h"

#include <map>
#include <string>

namespace acaciacross::standins {

/// The shards of one snapshot that a searcher holds, by shard number.
struct HeldSnapshot {
  std::string Id;
  std::map<std::uint32_t, common::KeyRange> Shards;
};

} // namespace acaciacross::standins

#endif
