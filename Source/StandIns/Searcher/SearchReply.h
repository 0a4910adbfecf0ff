#ifndef ACACIACROSS_STANDINS_SEARCHER_SEARCHREPLY_H
#define ACACIACROSS_STANDINS_SEARCHER_SEARCHREPLY_H

#include "Common/KeyRange.h"

#include <string>

namespace acaciacross::standins {

/// Contents of a 200 reply to POST /search.
struct SearchReply {
  std::string AttemptId;
  std::string Snapshot;
  std::uint32_t Shard = 0;
  common::KeyRange Range;
  std::string Body;
};

} // namespace acaciacross::standins

#endif
