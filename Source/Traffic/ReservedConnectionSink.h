#ifndef ACACIACROSS_TRAFFIC_RESERVEDCONNECTIONSINK_H
#define ACACIACROSS_TRAFFIC_RESERVEDCONNECTIONSINK_H

#include "Common/Identifiers.h"

#include <cstdint>

namespace acaciacross::traffic {

/// Receives how many connections of a searcher something other than a running
/// attempt takes from the quota: polls, and connections that are being closed.
class ReservedConnectionSink {
public:
  virtual ~ReservedConnectionSink() = default;

  virtual void onReservedConnections(common::SearcherIndex Searcher,
                                     std::uint32_t Count) = 0;
};

} // namespace acaciacross::traffic

#endif
