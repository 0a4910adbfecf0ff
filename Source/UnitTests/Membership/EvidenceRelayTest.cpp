#include "UnitTests/Membership/SimulatedFleet.h"

#include <gtest/gtest.h>

namespace acaciacross::membership {

using std::chrono::milliseconds;

/// A fleet of the given number of VMs.
class EvidenceRelayTest : public testing::TestWithParam<std::size_t> {
protected:
  /// Share of the pairs of a VM and a placed VM that are listed, over ten
  /// seconds; a VM does not list itself.
  double listedShare() {
    std::size_t Listed = 0;
    std::size_t Total = 0;
    for (int Step = 0; Step < 100; ++Step) {
      this->Fleet.runFor(milliseconds(100));
      for (std::size_t At = 0; At < this->Fleet.size(); At += 7)
        for (std::size_t Vm = 0; Vm < SimulatedFleet::PlacedCount; ++Vm) {
          if (At == Vm)
            continue;
          ++Total;
          Listed += this->Fleet.isListed(At, Vm) ? 1 : 0;
        }
    }
    return static_cast<double>(Listed) / static_cast<double>(Total);
  }

  SimulatedFleet Fleet{GetParam(), 1};
};

// An address answer that leaves out placed VMs moves callers to the others.
TEST_P(EvidenceRelayTest, AllVmsListThePlacedVmsWhileDatagramsAreLost) {
  this->Fleet.runFor(milliseconds(2'000));
  EXPECT_GT(this->listedShare(), 0.98);
}

// Evidence that is passed on must not become younger on its way: callers would
// be sent to a VM that has stopped.
TEST_P(EvidenceRelayTest, LostVmIsListedNowhereAfterOneSecond) {
  this->Fleet.runFor(milliseconds(3'000));
  this->Fleet.kill(1);
  this->Fleet.runFor(MaxEvidenceAge + milliseconds(1));
  for (int Step = 0; Step < 40; ++Step) {
    for (std::size_t At = 0; At < this->Fleet.size(); ++At)
      ASSERT_TRUE(At == 1 || !this->Fleet.isListed(At, 1)) << At;
    this->Fleet.runFor(milliseconds(100));
  }
}

// With both placed VMs of a failure domain lost, its standby VMs probe those of
// the other domains.
TEST_P(EvidenceRelayTest, DomainWithoutPlacedVmsListsThoseOfOthers) {
  this->Fleet.runFor(milliseconds(3'000));
  this->Fleet.kill(0);
  this->Fleet.kill(6);
  this->Fleet.runFor(milliseconds(4'000));
  std::size_t Listed = 0;
  std::size_t Total = 0;
  for (std::size_t At = 12; At < this->Fleet.size(); At += 6)
    for (const std::size_t Vm : {1, 2, 3, 4, 5, 7, 8, 9, 10, 11}) {
      ++Total;
      Listed += this->Fleet.isListed(At, Vm) ? 1 : 0;
    }
  EXPECT_GT(static_cast<double>(Listed), 0.6 * static_cast<double>(Total));
}

TEST_P(EvidenceRelayTest, DomainThatIsCutOffListsOnlyItsOwnVms) {
  this->Fleet.runFor(milliseconds(3'000));
  this->Fleet.cutOff(2);
  this->Fleet.runFor(MaxEvidenceAge + milliseconds(20));
  for (std::size_t At = 14; At < this->Fleet.size(); At += 6)
    for (std::size_t Vm = 0; Vm < SimulatedFleet::PlacedCount; ++Vm)
      if (Vm % SimulatedFleet::DomainCount != 2) {
        ASSERT_FALSE(this->Fleet.isListed(At, Vm)) << At << " " << Vm;
      }
  this->Fleet.runFor(milliseconds(20'000));
  this->Fleet.heal();
  this->Fleet.runFor(milliseconds(5'000));
  EXPECT_GT(this->listedShare(), 0.9);
}

// Traffic between failure domains is charged, and most VMs stand by.
TEST_P(EvidenceRelayTest,
       DatagramsBetweenDomainsGrowWithOneForEachVmAndSecond) {
  this->Fleet.runFor(milliseconds(5'000));
  this->Fleet.takeCrossDomainCount();
  this->Fleet.runFor(milliseconds(10'000));
  const auto PerSecond =
      static_cast<double>(this->Fleet.takeCrossDomainCount()) / 10.0;
  const auto Standbys = static_cast<double>(this->Fleet.size()) -
                        static_cast<double>(SimulatedFleet::PlacedCount);
  // A probe and its acknowledgement for each placed pair in every second round,
  // and for the random peer of each standby VM; a fifth more for lost ones.
  constexpr double PlacedProbes = 12 * (6 + 1) * 5;
  EXPECT_LT(PerSecond, 2.0 * 1.2 * (PlacedProbes + Standbys));
}

INSTANTIATE_TEST_SUITE_P(FleetSizes, EvidenceRelayTest,
                         testing::Values(30, 300, 3'000));

} // namespace acaciacross::membership
