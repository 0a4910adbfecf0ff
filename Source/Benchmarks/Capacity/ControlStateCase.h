#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_CONTROLSTATECASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_CONTROLSTATECASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Control/ControlState.h"
#include "TestSupport/ManualClock.h"

#include <memory>
#include <vector>

namespace acaciacross::benchmarks {

/// Memory per searcher of the control state: documents, searcher table,
/// searcher states and service views.
class ControlStateCase final : public CapacityCase {
public:
  explicit ControlStateCase(std::uint32_t Searchers);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  std::uint32_t Searchers;
  testsupport::ManualClock Clock;
  std::vector<configuration::ConfigurationChange> Documents;
  std::unique_ptr<control::ControlState> State;
};

} // namespace acaciacross::benchmarks

#endif
