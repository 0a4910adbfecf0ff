#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_CONTROLTICKCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_CONTROLTICKCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Control/ControlState.h"
#include "TestSupport/ManualClock.h"

#include <memory>

namespace acaciacross::benchmarks {

/// Cost of ControlState::tick, which the control thread calls 20 times a
/// second.
class ControlTickCase final : public CapacityCase {
public:
  explicit ControlTickCase(std::uint32_t Searchers);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  std::uint32_t Searchers;
  testsupport::ManualClock Clock;
  std::unique_ptr<control::ControlState> State;
};

} // namespace acaciacross::benchmarks

#endif
