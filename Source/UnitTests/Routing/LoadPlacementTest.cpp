#include "Routing/LoadPlacement.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

namespace acaciacross::routing {

using std::chrono::seconds;

class LoadPlacementTest : public testing::Test {
protected:
  void add(const std::string &Name, int Count, unsigned MilliCores) {
    for (int I = 0; I < Count; ++I)
      this->Serving.push_back({common::VmId(Name + std::to_string(I)),
                               "domain-" + std::to_string(I % 4), MilliCores,
                               0});
  }

  std::set<common::VmId> choose() {
    return this->Rule.choose(this->Serving, this->Now);
  }

  void setBusy(unsigned PerMille) {
    for (const common::VmId &Vm : this->choose())
      for (PlacementCandidate &Each : this->Serving)
        if (Each.Vm == Vm)
          Each.BusyPerMille = PerMille;
  }

  std::vector<PlacementCandidate> Serving;
  LoadPlacement Rule;
  common::MonotonicTime Now{seconds(100)};
};

// A fleet of nine has evidence of each VM; leaving some out would only take
// capacity away.
TEST_F(LoadPlacementTest, SmallFleetIsPlacedWhole) {
  this->add("vm-", 9, 250);
  EXPECT_EQ(this->choose().size(), 9U);
}

// 69 VMs together kept more connections than a searcher accepts: 26,000 were
// reset in a day with a loss of power.
TEST_F(LoadPlacementTest, LargestVmsOfEachDomainTakeTheCallersOfALargeFleet) {
  this->add("small-", 61, 120);
  this->add("large-", 8, 500);
  const auto Placed = this->choose();
  EXPECT_EQ(Placed.size(), 8U);
  EXPECT_TRUE(std::ranges::all_of(Placed, [](const common::VmId &Vm) {
    return Vm.Value.starts_with("large-");
  }));
}

// The loss of one domain must leave callers in the others.
TEST_F(LoadPlacementTest, VmsOfOneSizeAreSpreadOverTheDomains) {
  this->add("vm-", 60, 120);
  std::map<std::string, int> PerDomain;
  for (const common::VmId &Vm : this->choose())
    for (const PlacementCandidate &Each : this->Serving)
      if (Each.Vm == Vm)
        ++PerDomain[Each.FailureDomain];
  ASSERT_EQ(PerDomain.size(), 4U);
  for (const auto &[Domain, Count] : PerDomain)
    EXPECT_EQ(Count, 2) << Domain;
}

// All large VMs may be in the domain that is lost.
TEST_F(LoadPlacementTest, EachDomainHasVmsThatTakeCallersWhateverTheirSize) {
  this->add("small-", 40, 120);
  for (int I = 0; I < 8; ++I)
    this->Serving.push_back(
        {common::VmId("large-" + std::to_string(I)), "domain-0", 500, 0});
  std::map<std::string, int> PerDomain;
  for (const common::VmId &Vm : this->choose())
    for (const PlacementCandidate &Each : this->Serving)
      if (Each.Vm == Vm)
        ++PerDomain[Each.FailureDomain];
  EXPECT_EQ(PerDomain.size(), 4U);
}

// In a burst the placed VMs alone would be late with everything.
TEST_F(LoadPlacementTest, BusyVmsGetCompanyAndKeepItForAWhile) {
  this->add("vm-", 60, 120);
  this->setBusy(900);
  const std::size_t InBurst = this->choose().size();
  EXPECT_GE(InBurst, 20U);
  this->setBusy(0);
  this->Now += seconds(5);
  EXPECT_EQ(this->choose().size(), InBurst)
      << "connections would be given up and opened again in each short lull";
  this->Now += seconds(6);
  EXPECT_EQ(this->choose().size(), 8U);
}

// The set followed the load of the one moment in which a peak was ten seconds
// old, and gave up connections in a short lull.
TEST_F(LoadPlacementTest, LullAfterAPeakDoesNotShrinkTheSetBelowTheUsualLoad) {
  this->add("vm-", 60, 120);
  const auto Load = [this](unsigned PerMille) {
    for (PlacementCandidate &Each : this->Serving)
      Each.BusyPerMille = PerMille;
    return this->choose().size();
  };
  const std::size_t AtPeak = Load(300);
  this->Now += seconds(6);
  Load(100);
  this->Now += seconds(5);
  const std::size_t InLull = Load(0);
  EXPECT_LT(InLull, AtPeak);
  EXPECT_GT(InLull, 8U) << "the load of six seconds ago is forgotten";
}

// VMs that differ in what they were told in which order must not place callers
// on different sets.
TEST_F(LoadPlacementTest, OrderOfCandidatesDoesNotMatter) {
  this->add("vm-", 60, 120);
  const auto Before = this->choose();
  std::ranges::reverse(this->Serving);
  EXPECT_EQ(this->choose(), Before);
}

TEST_F(LoadPlacementTest, LostVmIsReplacedAndTheOthersStay) {
  this->add("vm-", 60, 120);
  const auto Before = this->choose();
  const common::VmId Lost = *Before.begin();
  std::erase_if(this->Serving,
                [&](const auto &Each) { return Each.Vm == Lost; });
  const auto After = this->choose();
  EXPECT_EQ(After.size(), Before.size());
  std::vector<common::VmId> Kept;
  std::ranges::set_intersection(Before, After, std::back_inserter(Kept));
  EXPECT_EQ(Kept.size(), Before.size() - 1);
}

} // namespace acaciacross::routing
