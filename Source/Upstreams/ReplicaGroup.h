#ifndef ACACIACROSS_UPSTREAMS_REPLICAGROUP_H
#define ACACIACROSS_UPSTREAMS_REPLICAGROUP_H

#include "Common/Identifiers.h"

#include <vector>

namespace acaciacross::upstreams {

/// The searchers that hold one shard of one snapshot.
using ReplicaGroup = std::vector<common::SearcherIndex>;

} // namespace acaciacross::upstreams

#endif
