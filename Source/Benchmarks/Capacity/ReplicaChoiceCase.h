#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_REPLICACHOICECASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_REPLICACHOICECASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Common/SeededRandom.h"
#include "Routing/PowerOfTwoSelector.h"

#include <memory>

namespace acaciacross::benchmarks {

/// Cost of a replica choice of PowerOfTwoSelector, including the calls for the
/// start and the end of the attempt.
class ReplicaChoiceCase final : public CapacityCase {
public:
  explicit ReplicaChoiceCase(std::uint32_t Searchers);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  std::uint32_t Searchers;
  common::SeededRandom Random;
  routing::PowerOfTwoSelector Selector;
  std::shared_ptr<query::ServiceView> View;
};

} // namespace acaciacross::benchmarks

#endif
