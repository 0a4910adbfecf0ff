#ifndef ACACIACROSS_QUERY_SHARDANSWER_H
#define ACACIACROSS_QUERY_SHARDANSWER_H

#include "Common/Identifiers.h"

#include <string>

namespace acaciacross::query {

/// The part of an answer that comes from one shard.
struct ShardAnswer {
  common::ShardId Shard;
  std::string Body;
};

} // namespace acaciacross::query

#endif
