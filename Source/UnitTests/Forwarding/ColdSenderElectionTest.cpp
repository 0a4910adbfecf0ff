#include "Forwarding/ColdSenderElection.h"

#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

#include <string>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

class ColdSenderElectionTest : public testing::Test {
protected:
  static common::VmId vm(unsigned Number) {
    return common::VmId("vm-" + std::to_string(Number));
  }

  /// The VM's view: the first Count VMs are live and placed.
  static FleetMembers members(unsigned Self, unsigned Count) {
    FleetMembers Members;
    Members.Self = vm(Self);
    for (unsigned I = 0; I < Count; ++I) {
      Members.Placed.insert(vm(I));
      Members.Live.push_back(vm(I));
    }
    Members.IsKnown = true;
    return Members;
  }

  /// Passes on the view five times a second.
  void hold(const FleetMembers &Members, milliseconds Duration) {
    for (milliseconds Passed{0}; Passed < Duration; Passed += Period) {
      this->Time.advance(Period);
      this->Election.update(Members, this->Time.monotonicNow());
    }
  }

  unsigned share(unsigned Total) {
    return this->Election.share(common::SearcherId("i-1"), Total);
  }

  static constexpr milliseconds Period{200};
  testsupport::ManualClock Time;
  ColdSenderElection Election;
};

// A plain division gives less than one request to each VM of a large fleet.
TEST_F(ColdSenderElectionTest, SharesOfAllVmsAddUpToTheTotal) {
  for (const unsigned Count : {1U, 3U, 9U, 40U})
    for (const unsigned Total : {0U, 1U, 4U, 10U, 25U}) {
      unsigned Sum = 0;
      for (unsigned Self = 0; Self < Count; ++Self) {
        this->Election = ColdSenderElection();
        this->hold(members(Self, Count), milliseconds(3'000));
        Sum += this->share(Total);
      }
      EXPECT_EQ(Sum, Total) << Count << " VMs";
    }
}

// Otherwise one VM would have to serve all cold searchers.
TEST_F(ColdSenderElectionTest, SearchersHaveDifferentSenders) {
  this->hold(members(0, 10), milliseconds(3'000));
  int Chosen = 0;
  for (int I = 0; I < 200; ++I)
    Chosen += static_cast<int>(
        this->Election.share(common::SearcherId("i-" + std::to_string(I)), 1));
  EXPECT_GT(Chosen, 5);
  EXPECT_LT(Chosen, 50);
}

// A VM that has just started would take a share that others still use.
TEST_F(ColdSenderElectionTest, StartingVmHasNoShare) {
  FleetMembers Unknown = members(0, 1);
  Unknown.IsKnown = false;
  this->hold(Unknown, milliseconds(5'000));
  EXPECT_EQ(this->share(10), 0U);
  this->hold(members(0, 1), milliseconds(1'800));
  EXPECT_EQ(this->share(10), 0U);
  this->hold(members(0, 1), milliseconds(600));
  EXPECT_EQ(this->share(10), 10U);
}

TEST_F(ColdSenderElectionTest, VmThatWasSuspendedHasNoShareAtFirst) {
  this->hold(members(0, 2), milliseconds(3'000));
  EXPECT_GT(this->share(10), 0U);
  this->Time.advance(milliseconds(5'000));
  this->hold(members(0, 2), milliseconds(200));
  EXPECT_EQ(this->share(10), 0U);
  this->hold(members(0, 2), milliseconds(2'200));
  EXPECT_GT(this->share(10), 0U);
}

TEST_F(ColdSenderElectionTest, StandbyVmHasNoShare) {
  this->hold(members(0, 2), milliseconds(3'000));
  FleetMembers Standby = members(0, 2);
  Standby.Placed.erase(vm(0));
  this->hold(Standby, milliseconds(200));
  EXPECT_EQ(this->share(10), 0U);
}

// A VM that is cut off sees all others as lost; they go on sending.
TEST_F(ColdSenderElectionTest, VmThatIsCutOffTakesNothingOver) {
  this->hold(members(0, 10), milliseconds(3'000));
  EXPECT_EQ(this->share(10), 1U);
  this->hold(members(0, 1), milliseconds(60'000));
  EXPECT_EQ(this->share(10), 1U);
}

TEST_F(ColdSenderElectionTest, VmThatIsNoLongerPlacedIsReplaced) {
  this->hold(members(0, 2), milliseconds(3'000));
  FleetMembers Alone = members(0, 2);
  Alone.Placed.erase(vm(1));
  this->hold(Alone, milliseconds(3'400));
  EXPECT_EQ(this->share(10), 10U);
}

} // namespace acaciacross::forwarding
