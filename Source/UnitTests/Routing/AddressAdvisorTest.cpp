#include "Routing/AddressAdvisor.h"

#include "Common/SeededRandom.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace acaciacross::routing {

using std::chrono::milliseconds;

class AddressAdvisorTest : public testing::Test {
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

  std::set<std::string> names(bool IsThisVmServing, std::size_t Max) {
    std::set<std::string> Names;
    for (const AddressCandidate &Each :
         this->Advisor.advise(this->EntryVms, IsThisVmServing, this->Now, Max))
      Names.insert(Each.Vm.Value);
    return Names;
  }

  common::SeededRandom Random{1};
  AddressAdvisor Advisor{Random};
  common::MonotonicTime Now{std::chrono::seconds(100)};
  std::vector<AddressCandidate> EntryVms;
};

TEST_F(AddressAdvisorTest, ServingVmIsNamedWhateverTheMaximumIs) {
  for (int I = 0; I < 50; ++I)
    EXPECT_EQ(this->names(true, 1).count("entry-0"), 1U);
}

// A caller sent to a VM that stops would lose its request (P7).
TEST_F(AddressAdvisorTest, VmThatDoesNotServeIsNotNamed) {
  EXPECT_EQ(this->names(false, 8).count("entry-0"), 0U);
}

TEST_F(AddressAdvisorTest, PeerWithEvidenceOlderThanOneSecondIsNotNamed) {
  this->EntryVms[3].EvidenceAt = this->Now - milliseconds(1001);
  this->EntryVms[4].EvidenceAt = this->Now - milliseconds(1000);
  const std::set<std::string> Names = this->names(true, 8);
  EXPECT_EQ(Names.count("entry-3"), 0U);
  EXPECT_EQ(Names.count("entry-4"), 1U);
}

// Callers on VMs that stand by would open connections to all searchers.
TEST_F(AddressAdvisorTest, VmThatStandsByIsNotNamedBesidePlacedOnes) {
  for (std::size_t I = 0; I < this->EntryVms.size(); ++I)
    this->EntryVms[I].IsPlaced = I == 2 || I == 5;
  EXPECT_EQ(this->names(true, 8),
            (std::set<std::string>{"entry-2", "entry-5"}));
}

// All placed VMs may be lost at the same moment.
TEST_F(AddressAdvisorTest, VmsThatStandByAreNamedWhenNoPlacedOneIsFresh) {
  for (std::size_t I = 0; I < this->EntryVms.size(); ++I)
    this->EntryVms[I].IsPlaced = I == 2;
  this->EntryVms[2].EvidenceAt = this->Now - milliseconds(1001);
  EXPECT_EQ(this->names(true, 8).size(), 7U);
}

// Addresses of one rack only would all be lost with it.
TEST_F(AddressAdvisorTest, AsManyAddressesAsDomainsSpanAllDomains) {
  for (int I = 0; I < 50; ++I) {
    std::set<std::string> Domains;
    for (const AddressCandidate &Each :
         this->Advisor.advise(this->EntryVms, true, this->Now, 4))
      Domains.insert(Each.FailureDomain);
    EXPECT_EQ(Domains.size(), 4U);
  }
}

// Callers take the first address; a fixed order would load one VM.
TEST_F(AddressAdvisorTest, EachVmComesFirstAboutEquallyOften) {
  std::map<std::string, int> First;
  for (int I = 0; I < 8'000; ++I)
    ++First[this->Advisor.advise(this->EntryVms, true, this->Now, 8)
                .front()
                .Vm.Value];
  EXPECT_EQ(First.size(), 8U);
  for (const auto &[Name, Count] : First)
    EXPECT_NEAR(Count, 1'000, 150) << Name;
}

} // namespace acaciacross::routing
