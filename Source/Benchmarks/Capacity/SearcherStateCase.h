#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_SEARCHERSTATECASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_SEARCHERSTATECASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Control/ControlState.h"
#include "TestSupport/ManualClock.h"

#include <memory>

namespace acaciacross::benchmarks {

/// Cost of a drain notice, which changes the state of one searcher, so that the
/// view of its service is rebuilt.
class SearcherStateCase final : public CapacityCase {
public:
  explicit SearcherStateCase(std::uint32_t SearchersPerService);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  std::uint32_t SearchersPerService;
  testsupport::ManualClock Clock;
  std::unique_ptr<control::ControlState> State;
};

} // namespace acaciacross::benchmarks

#endif
