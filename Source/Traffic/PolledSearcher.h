#ifndef ACACIACROSS_TRAFFIC_POLLEDSEARCHER_H
#define ACACIACROSS_TRAFFIC_POLLEDSEARCHER_H

#include "Common/Address.h"
#include "Common/Time.h"

namespace acaciacross::traffic {

/// A searcher that is polled, and when its next poll is due.
struct PolledSearcher {
  common::Address Endpoint;
  common::MonotonicTime DueAt;
};

} // namespace acaciacross::traffic

#endif
