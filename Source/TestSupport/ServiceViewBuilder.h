#ifndef ACACIACROSS_TESTSUPPORT_SERVICEVIEWBUILDER_H
#define ACACIACROSS_TESTSUPPORT_SERVICEVIEWBUILDER_H

#include "Query/ServiceView.h"

#include <memory>

namespace acaciacross::testsupport {

/// Builds the view of a service with one snapshot in which each searcher holds
/// one shard.
struct ServiceViewBuilder {
  std::uint32_t Shards = 10;
  std::uint32_t Searchers = 30;
  std::uint32_t Slots = 2;
  std::uint32_t ConnectionQuota = 2;

  std::shared_ptr<query::ServiceView> build() const;
};

} // namespace acaciacross::testsupport

#endif
