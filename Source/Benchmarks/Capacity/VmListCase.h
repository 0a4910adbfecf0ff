#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_VMLISTCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_VMLISTCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Control/ControlState.h"
#include "TestSupport/ManualClock.h"

#include <memory>
#include <string>

namespace acaciacross::benchmarks {

/// Cost per VM of decoding and applying the first VM list, when all searchers
/// on it are already configured.
class VmListCase final : public CapacityCase {
public:
  explicit VmListCase(std::uint32_t Vms);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;
  std::uint64_t encodedBytes() const override;

private:
  std::uint32_t Vms;
  testsupport::ManualClock Clock;
  std::unique_ptr<control::ControlState> State;
  std::string Body;
};

} // namespace acaciacross::benchmarks

#endif
