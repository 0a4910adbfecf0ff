#include "Routing/LoadPlacement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace acaciacross::routing {

using std::chrono::seconds;

class LoadPlacementTest : public testing::Test {
protected:
  void addVms(const std::string &Name, int Count, unsigned MilliCores) {
    for (int I = 0; I < Count; ++I)
      this->Serving.push_back({common::VmId(Name + std::to_string(I)),
                               "domain-" + std::to_string(I % 4), MilliCores,
                               0});
  }

  std::set<common::VmId> choose() {
    return this->Policy.choose(this->Serving, this->Now);
  }

  void setBusy(unsigned PerMille) {
    for (const common::VmId &Vm : this->choose())
      for (PlacementCandidate &Candidate : this->Serving)
        if (Candidate.Vm == Vm)
          Candidate.BusyPerMille = PerMille;
  }

  std::vector<PlacementCandidate> Serving;
  LoadPlacement Policy;
  common::MonotonicTime Now{seconds(100)};
};

// A fleet of nine VMs has evidence of each VM; leaving some out would only
// reduce capacity.
TEST_F(LoadPlacementTest, SmallFleetIsPlacedCompletely) {
  this->addVms("vm-", 9, 250);
  EXPECT_EQ(this->choose().size(), 9U);
}

// 69 VMs together keep more connections than a searcher accepts: searchers
// reset 26,000 connections in a day with a power loss.
TEST_F(LoadPlacementTest, LargeFleetPlacesTheLargestVmsOfEachDomain) {
  this->addVms("small-", 61, 120);
  this->addVms("large-", 8, 500);
  const auto Placed = this->choose();
  EXPECT_EQ(Placed.size(), 8U);
  EXPECT_TRUE(std::ranges::all_of(Placed, [](const common::VmId &Vm) {
    return Vm.Value.starts_with("large-");
  }));
}

// If one domain is lost, the VMs in the others must still have callers.
TEST_F(LoadPlacementTest, VmsOfOneSizeAreSpreadOverTheDomains) {
  this->addVms("vm-", 60, 120);
  std::map<std::string, int> PerDomain;
  for (const common::VmId &Vm : this->choose())
    for (const PlacementCandidate &Candidate : this->Serving)
      if (Candidate.Vm == Vm)
        ++PerDomain[Candidate.FailureDomain];
  ASSERT_EQ(PerDomain.size(), 4U);
  for (const auto &[Domain, Count] : PerDomain)
    EXPECT_EQ(Count, 2) << Domain;
}

// If callers were placed by size alone, all placed VMs could be in the domain
// that is lost.
TEST_F(LoadPlacementTest, EveryDomainHasPlacedVmsOfAnySize) {
  this->addVms("small-", 40, 120);
  for (int I = 0; I < 8; ++I)
    this->Serving.push_back(
        {common::VmId("large-" + std::to_string(I)), "domain-0", 500, 0});
  std::map<std::string, int> PerDomain;
  for (const common::VmId &Vm : this->choose())
    for (const PlacementCandidate &Candidate : this->Serving)
      if (Candidate.Vm == Vm)
        ++PerDomain[Candidate.FailureDomain];
  EXPECT_EQ(PerDomain.size(), 4U);
}

// In a burst the VMs placed before it would answer every request late.
// Shrinking the set at once would close connections in each short lull.
TEST_F(LoadPlacementTest, BusyFleetPlacesMoreVmsAndKeepsThemForTenSeconds) {
  this->addVms("vm-", 60, 120);
  this->setBusy(900);
  const std::size_t InBurst = this->choose().size();
  EXPECT_GE(InBurst, 20U);
  this->setBusy(0);
  this->Now += seconds(5);
  EXPECT_EQ(this->choose().size(), InBurst)
      << "connections would be closed and reopened in each short lull";
  this->Now += seconds(6);
  EXPECT_EQ(this->choose().size(), 8U);
}

// When the peak dropped out of the ten-second window, the set followed the load
// of that single moment and closed connections in a short lull.
TEST_F(LoadPlacementTest, LullAfterAPeakKeepsTheSetForTheLoadWithinTheWindow) {
  this->addVms("vm-", 60, 120);
  const auto PlacedCountAt = [this](unsigned PerMille) {
    for (PlacementCandidate &Candidate : this->Serving)
      Candidate.BusyPerMille = PerMille;
    return this->choose().size();
  };
  const std::size_t AtPeak = PlacedCountAt(300);
  this->Now += seconds(6);
  PlacedCountAt(100);
  this->Now += seconds(5);
  const std::size_t InLull = PlacedCountAt(0);
  EXPECT_LT(InLull, AtPeak);
  EXPECT_GT(InLull, 8U) << "the load of six seconds ago no longer counts";
}

// VMs that learn of their peers in different orders must not place callers on
// different sets of VMs.
TEST_F(LoadPlacementTest, OrderOfCandidatesDoesNotMatter) {
  this->addVms("vm-", 60, 120);
  const auto Before = this->choose();
  std::ranges::reverse(this->Serving);
  EXPECT_EQ(this->choose(), Before);
}

// If the loss of a VM changed the whole set, the other placed VMs would close
// their connections.
TEST_F(LoadPlacementTest, LostVmIsReplacedAndTheOthersStay) {
  this->addVms("vm-", 60, 120);
  const auto Before = this->choose();
  const common::VmId Lost = *Before.begin();
  std::erase_if(this->Serving,
                [&](const auto &Candidate) { return Candidate.Vm == Lost; });
  const auto After = this->choose();
  EXPECT_EQ(After.size(), Before.size());
  std::vector<common::VmId> Kept;
  std::ranges::set_intersection(Before, After, std::back_inserter(Kept));
  EXPECT_EQ(Kept.size(), Before.size() - 1);
}

} // namespace acaciacross::routing
