#ifndef ACACIACROSS_UPSTREAMS_TRACKEDSEARCHER_H
#define ACACIACROSS_UPSTREAMS_TRACKEDSEARCHER_H

#include "Common/Address.h"
#include "Common/Identifiers.h"

namespace acaciacross::upstreams {

/// A searcher of a service document with its index in this process.
struct TrackedSearcher {
  common::SearcherIndex Index;
  common::SearcherId Id;
  common::Address Endpoint;
};

} // namespace acaciacross::upstreams

#endif
