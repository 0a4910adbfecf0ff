#ifndef ACACIACROSS_STANDINS_SEARCHER_LOADEDSNAPSHOT_H
#define ACACIACROSS_STANDINS_SEARCHER_LOADEDSNAPSHOT_H

#include "Common/KeyRange.h"

#include <map>
#include <string>

namespace acaciacross::standins {

/// A snapshot that a searcher has loaded, with the key ranges of its shards by
/// shard number.
struct LoadedSnapshot {
  std::string Id;
  std::map<std::uint32_t, common::KeyRange> Shards;
};

} // namespace acaciacross::standins

#endif
