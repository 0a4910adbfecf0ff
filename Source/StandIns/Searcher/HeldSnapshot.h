#ifndef ACACIACROSS_STANDINS_SEARCHER_HELDSNAPSHOT_H
#define ACACIACROSS_STANDINS_SEARCHER_HELDSNAPSHOT_H

#include "Common/KeyRange.h"

#include <map>
#include <string>

namespace acaciacross::standins {

/// A snapshot that a searcher holds, with the key ranges of its shards by shard
/// number.
struct HeldSnapshot {
  std::string Id;
  std::map<std::uint32_t, common::KeyRange> Shards;
};

} // namespace acaciacross::standins

#endif
