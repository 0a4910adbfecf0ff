#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_SERVICEVIEWCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_SERVICEVIEWCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Configuration/ConfigurationStore.h"
#include "Control/ServiceViewBuilder.h"
#include "Upstreams/FailureEjectionPolicy.h"

#include <memory>
#include <vector>

namespace acaciacross::benchmarks {

/// Cost per searcher of building the service views of all services from the
/// documents in effect.
class ServiceViewCase final : public CapacityCase {
public:
  explicit ServiceViewCase(std::uint32_t Searchers);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  std::uint32_t Searchers;
  configuration::ConfigurationStore Store;
  control::SearcherTable Table;
  upstreams::UpstreamTracker Tracker;
  control::ServiceViewBuilder Builder;
  std::vector<std::shared_ptr<const query::ServiceView>> Views;
};

} // namespace acaciacross::benchmarks

#endif
