#ifndef ACACIACROSS_UNITTESTS_TRAFFIC_FAKECONNECTIONAVAILABILITY_H
#define ACACIACROSS_UNITTESTS_TRAFFIC_FAKECONNECTIONAVAILABILITY_H

#include "Traffic/ConnectionAvailability.h"

#include <set>

namespace acaciacross::traffic {

/// Reports a free connection for all searchers except those in Full.
class FakeConnectionAvailability final : public ConnectionAvailability {
public:
  bool hasFreeConnection(common::SearcherIndex Searcher) const override {
    return !this->Full.contains(Searcher);
  }

  std::set<common::SearcherIndex> Full;
};

} // namespace acaciacross::traffic

#endif
