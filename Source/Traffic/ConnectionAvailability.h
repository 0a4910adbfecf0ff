#ifndef ACACIACROSS_TRAFFIC_CONNECTIONAVAILABILITY_H
#define ACACIACROSS_TRAFFIC_CONNECTIONAVAILABILITY_H

#include "Common/Identifiers.h"

namespace acaciacross::traffic {

/// Tells whether connections are left for polls.
class ConnectionAvailability {
public:
  virtual ~ConnectionAvailability() = default;

  /// False when running requests use up the connection quota of the searcher.
  virtual bool hasFreeConnection(common::SearcherIndex Searcher) const = 0;
};

} // namespace acaciacross::traffic

#endif
