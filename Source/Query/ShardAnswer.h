#ifndef ACACIACROSS_QUERY_SHARDANSWER_H
#define ACACIACROSS_QUERY_SHARDANSWER_H

#include "Common/Identifiers.h"

#include <string>

namespace acaciacross::query {

/// One shard's part of an answer.
struct ShardAnswer {
  common::ShardId Shard;
  std::string Body;
};

} // namespace acaciacross::query

#endif
