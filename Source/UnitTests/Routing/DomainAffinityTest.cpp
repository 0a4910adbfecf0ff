#include "Routing/DomainAffinity.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace acaciacross::routing {

using std::chrono::milliseconds;

/// Six failure domains with two VMs each.
class DomainAffinityTest : public testing::Test {
protected:
  DomainAffinityTest() {
    for (int I = 0; I < 12; ++I) {
      AddressCandidate Vm;
      Vm.Vm = common::VmId("vm-" + std::to_string(I));
      Vm.FailureDomain = "z" + std::to_string(I % 6);
      this->Vms.push_back(Vm);
    }
  }

  std::vector<AddressCandidate> named(const std::string &Domain) {
    return this->Affinity.apply(this->Vms, Domain, this->Time.monotonicNow());
  }

  static std::ptrdiff_t countIn(const std::vector<AddressCandidate> &Named,
                                const std::string &Domain) {
    return std::ranges::count(Named, Domain, &AddressCandidate::FailureDomain);
  }

  testsupport::ManualClock Time;
  std::vector<AddressCandidate> Vms;
  DomainAffinity Affinity;
};

TEST_F(DomainAffinityTest, CallerIsNamedTheVmsOfItsDomainAndOneReserve) {
  const auto Named = this->named("z3");
  EXPECT_EQ(Named.size(), 3U);
  EXPECT_EQ(countIn(Named, "z3"), 2);
}

TEST_F(DomainAffinityTest, CallerOfAnUnknownDomainIsNamedAllVms) {
  EXPECT_EQ(this->named("").size(), 12U);
  EXPECT_EQ(this->named("elsewhere").size(), 12U);
}

// With one VM left, its callers would have no other address when it is lost.
TEST_F(DomainAffinityTest, DomainWithOneVmLeftIsNamedAllVms) {
  std::erase_if(this->Vms, [](const AddressCandidate &Vm) {
    return Vm.Vm.Value == "vm-3";
  });
  EXPECT_EQ(this->named("z3").size(), 11U);
}

TEST_F(DomainAffinityTest, LoadedDomainIsNamedMoreOthers) {
  this->Vms[3].BusyPerMille = 600;
  this->Vms[9].BusyPerMille = 600;
  EXPECT_EQ(this->named("z3").size(), 8U);
  EXPECT_EQ(this->named("z4").size(), 3U) << "its own VMs are not loaded";
}

// All callers come from one failure domain, with a third of the capacity of the
// whole fleet: twice what the VMs of that domain can serve. A quarter of them
// asks for new addresses in each half second.
TEST_F(DomainAffinityTest, CallersOfOneDomainAreSpreadWithoutOverload) {
  constexpr double Demand = 4'000.0;
  std::vector<std::vector<AddressCandidate>> Groups(4);
  int OverloadedSteps = 0;
  for (int Step = 0; Step < 120; ++Step) {
    Groups[static_cast<std::size_t>(Step) % 4] = this->named("z0");
    for (AddressCandidate &Vm : this->Vms) {
      double Load = 0.0;
      for (const auto &Group : Groups)
        if (std::ranges::count(Group, Vm.Vm, &AddressCandidate::Vm) > 0)
          Load += Demand / 4.0 / static_cast<double>(Group.size());
      Vm.BusyPerMille = static_cast<unsigned>(std::min(1'000.0, Load));
      OverloadedSteps += Step >= 20 && Load >= 900.0 ? 1 : 0;
    }
    this->Time.advance(milliseconds(500));
  }
  EXPECT_EQ(OverloadedSteps, 0);
}

} // namespace acaciacross::routing
