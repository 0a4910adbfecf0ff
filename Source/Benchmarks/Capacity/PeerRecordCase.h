#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_PEERRECORDCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_PEERRECORDCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Membership/FleetTable.h"
#include "TestSupport/ManualClock.h"

#include <vector>

namespace acaciacross::benchmarks {

/// Memory per peer of the fleet table.
class PeerRecordCase final : public CapacityCase {
public:
  explicit PeerRecordCase(std::uint32_t Peers);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  std::uint32_t Peers;
  testsupport::ManualClock Clock;
  membership::FleetTable Fleet;
  std::vector<membership::MemberStatus> Statuses;
};

} // namespace acaciacross::benchmarks

#endif
