#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_PROBEROUNDCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_PROBEROUNDCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Benchmarks/Capacity/ProbeCollector.h"
#include "Common/SeededRandom.h"
#include "Membership/AddressHints.h"
#include "Membership/FleetTable.h"
#include "Membership/Prober.h"
#include "TestSupport/ManualClock.h"

#include <map>

namespace acaciacross::benchmarks {

/// Cost of one membership round in which every probe is acknowledged, without
/// encoding and sockets.
class ProbeRoundCase final : public CapacityCase {
public:
  explicit ProbeRoundCase(std::uint32_t Peers);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  void runRound();

  std::uint32_t Peers;
  testsupport::ManualClock Clock;
  common::SeededRandom Random;
  ProbeCollector Channel;
  membership::FleetTable Fleet;
  membership::AddressHints Hints;
  membership::Prober Probes;
  std::map<common::Address, membership::MemberStatus> Statuses;
};

} // namespace acaciacross::benchmarks

#endif
