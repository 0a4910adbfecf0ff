#ifndef ACACIACROSS_TRAFFIC_CONNECTIONHOLDSINK_H
#define ACACIACROSS_TRAFFIC_CONNECTIONHOLDSINK_H

#include "Common/Identifiers.h"

#include <cstdint>

namespace acaciacross::traffic {

/// Told how many connections of a searcher something else than a running
/// attempt takes from the quota: polls, and connections that are being closed.
class ConnectionHoldSink {
public:
  virtual ~ConnectionHoldSink() = default;

  virtual void onHeld(common::SearcherIndex Searcher, std::uint32_t Count) = 0;
};

} // namespace acaciacross::traffic

#endif
