#include "Routing/EntryVmSelector.h"

#include "Common/SeededRandom.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace acaciacross::routing {

using std::chrono::milliseconds;

class EntryVmSelectorTest : public testing::Test {
protected:
  void SetUp() override {
    for (int I = 0; I < 8; ++I) {
      AddressCandidate Vm;
      Vm.Vm = common::VmId("entry-" + std::to_string(I));
      Vm.FailureDomain = "rack-" + std::to_string(I / 2);
      Vm.EvidenceAt = this->Now - milliseconds(100);
      this->EntryVms.push_back(Vm);
    }
  }

  std::set<std::string> advisedVms(bool IsThisVmServing, std::size_t Max) {
    std::set<std::string> Names;
    for (const AddressCandidate &Candidate : this->Selector.select(
             this->EntryVms, IsThisVmServing, this->Now, Max, ""))
      Names.insert(Candidate.Vm.Value);
    return Names;
  }

  common::SeededRandom Random{1};
  EntryVmSelector Selector{Random};
  common::MonotonicTime Now{std::chrono::seconds(100)};
  std::vector<AddressCandidate> EntryVms;
};

// Truncation to the maximum must not drop the VM that gives the answer.
TEST_F(EntryVmSelectorTest, ServingVmIsAlwaysListedForAnyMaximum) {
  for (int I = 0; I < 50; ++I)
    EXPECT_EQ(this->advisedVms(true, 1).count("entry-0"), 1U);
}

// A caller that is sent to a stopping VM would lose its request (P7).
TEST_F(EntryVmSelectorTest, VmThatDoesNotServeIsNotListed) {
  EXPECT_EQ(this->advisedVms(false, 8).count("entry-0"), 0U);
}

// A peer without fresh evidence may be stopping or lost.
TEST_F(EntryVmSelectorTest, PeerWithEvidenceOlderThanOneSecondIsNotListed) {
  this->EntryVms[3].EvidenceAt = this->Now - milliseconds(1001);
  this->EntryVms[4].EvidenceAt = this->Now - milliseconds(1000);
  const std::set<std::string> Names = this->advisedVms(true, 8);
  EXPECT_EQ(Names.count("entry-3"), 0U);
  EXPECT_EQ(Names.count("entry-4"), 1U);
}

// Callers on standby VMs would make these open connections to all searchers.
TEST_F(EntryVmSelectorTest, StandbyVmIsNotListedWithPlacedVms) {
  for (std::size_t I = 0; I < this->EntryVms.size(); ++I)
    this->EntryVms[I].IsPlaced = I == 2 || I == 5;
  EXPECT_EQ(this->advisedVms(true, 8),
            (std::set<std::string>{"entry-2", "entry-5"}));
}

// Without the fallback, the answer would be empty when all placed VMs are lost
// at the same time.
TEST_F(EntryVmSelectorTest, StandbyVmsAreListedWhenNoPlacedVmIsFresh) {
  for (std::size_t I = 0; I < this->EntryVms.size(); ++I)
    this->EntryVms[I].IsPlaced = I == 2;
  this->EntryVms[2].EvidenceAt = this->Now - milliseconds(1001);
  EXPECT_EQ(this->advisedVms(true, 8).size(), 7U);
}

// If all addresses were in one rack, its loss would leave the caller without an
// entry VM.
TEST_F(EntryVmSelectorTest, AsManyAddressesAsDomainsCoverAllDomains) {
  for (int I = 0; I < 50; ++I) {
    std::set<std::string> Domains;
    for (const AddressCandidate &Candidate :
         this->Selector.select(this->EntryVms, true, this->Now, 4, ""))
      Domains.insert(Candidate.FailureDomain);
    EXPECT_EQ(Domains.size(), 4U);
  }
}

// Callers use the first address; a fixed order would send them all to one VM.
TEST_F(EntryVmSelectorTest, EachVmComesFirstAboutEquallyOften) {
  std::map<std::string, int> FirstCounts;
  for (int I = 0; I < 8'000; ++I)
    ++FirstCounts[this->Selector.select(this->EntryVms, true, this->Now, 8, "")
                      .front()
                      .Vm.Value];
  EXPECT_EQ(FirstCounts.size(), 8U);
  for (const auto &[Name, Count] : FirstCounts)
    EXPECT_NEAR(Count, 1'000, 150) << Name;
}

} // namespace acaciacross::routing
