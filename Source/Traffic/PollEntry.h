#ifndef ACACIACROSS_TRAFFIC_POLLENTRY_H
#define ACACIACROSS_TRAFFIC_POLLENTRY_H

#include "Common/Address.h"
#include "Common/Time.h"

namespace acaciacross::traffic {

/// A searcher that is polled.
struct PollEntry {
  common::Address Endpoint;
  common::MonotonicTime DueAt;
};

} // namespace acaciacross::traffic

#endif
