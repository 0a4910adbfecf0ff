#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_APPLYCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_APPLYCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Control/ControlState.h"
#include "TestSupport/ManualClock.h"

#include <memory>
#include <vector>

namespace acaciacross::benchmarks {

/// Cost of parsing, applying and publishing one service document while the
/// control state holds documents with KnownSearchers searchers in other
/// services.
class ApplyCase final : public CapacityCase {
public:
  ApplyCase(std::uint32_t Searchers, std::uint32_t KnownSearchers);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;
  std::uint64_t encodedBytes() const override;

private:
  std::uint32_t Searchers;
  std::uint32_t KnownSearchers;
  testsupport::ManualClock Clock;
  std::unique_ptr<control::ControlState> State;
  std::vector<configuration::ConfigurationChange> Changes;
};

} // namespace acaciacross::benchmarks

#endif
