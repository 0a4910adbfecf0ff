#ifndef ACACIACROSS_COMMON_IDENTIFIERS_H
#define ACACIACROSS_COMMON_IDENTIFIERS_H

#include "Common/StrongId.h"

#include <cstdint>
#include <string>

namespace acaciacross::common {

/// An entry VM, as named in its settings and in the platform's list.
using VmId = StrongId<struct VmTag, std::string>;

/// One run of an entry process; chosen at random when the process starts.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

using ServiceName = StrongId<struct ServiceTag, std::string>;
using ClassName = StrongId<struct ClassTag, std::string>;

/// The identifier that the caller gave to its request; the answer repeats it.
using RequestId = StrongId<struct RequestTag, std::string>;

/// The remote IP address of the connection that a request came on; empty when
/// unknown.
using CallerHost = StrongId<struct CallerHostTag, std::string>;

/// A searcher, as named in the published service document.
using SearcherId = StrongId<struct SearcherTag, std::string>;

/// Index of a searcher in the tables of this process. It stays the same until
/// the process ends, also when documents change.
using SearcherIndex = StrongId<struct SearcherIndexTag, std::uint32_t>;

/// One version of a service's index.
using SnapshotId = StrongId<struct SnapshotTag, std::string>;

/// One shard of a snapshot.
using ShardId = StrongId<struct ShardTag, std::uint32_t>;

/// Revision that the configuration service assigned to a change.
using Revision = StrongId<struct RevisionTag, std::uint64_t>;

} // namespace acaciacross::common

#endif
