#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_EVIDENCECASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_EVIDENCECASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Control/ControlState.h"
#include "TestSupport/ManualClock.h"

#include <memory>
#include <vector>

namespace acaciacross::benchmarks {

/// Cost of applying the results of attempts, which reach the control thread in
/// batches.
class EvidenceCase final : public CapacityCase {
public:
  explicit EvidenceCase(std::uint32_t Searchers);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  std::uint32_t Searchers;
  testsupport::ManualClock Clock;
  std::unique_ptr<control::ControlState> State;
  std::vector<std::vector<control::UpstreamEvidence>> Batches;
};

} // namespace acaciacross::benchmarks

#endif
