#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_PUBLISHCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_PUBLISHCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Control/ControlState.h"
#include "TestSupport/ManualClock.h"

#include <memory>

namespace acaciacross::benchmarks {

/// Cost of building a ControlView, as after every round of probes.
class PublishCase final : public CapacityCase {
public:
  PublishCase(std::uint32_t Searchers, std::uint32_t SearchersPerService,
              std::uint32_t Peers);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  std::uint32_t Searchers;
  std::uint32_t SearchersPerService;
  std::uint32_t Peers;
  testsupport::ManualClock Clock;
  std::unique_ptr<control::ControlState> State;
};

} // namespace acaciacross::benchmarks

#endif
