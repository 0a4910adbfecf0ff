#include "Discovery/StoreReaderElection.h"

#include <gtest/gtest.h>

#include <string>

namespace acaciacross::discovery {

class StoreReaderElectionTest : public testing::Test {
protected:
  StoreReaderElectionTest() {
    for (int I = 0; I < 9; ++I) {
      this->Live.emplace_back("vm-" + std::to_string(I));
      this->Placed.insert(this->Live.back());
    }
  }

  std::set<common::VmId> elected() const {
    std::set<common::VmId> Result;
    for (const common::VmId &Vm : this->Live)
      if (StoreReaderElection::isElected(Vm, this->Placed, this->Live,
                                         this->Silent))
        Result.insert(Vm);
    return Result;
  }

  std::vector<common::VmId> Live;
  std::set<common::VmId> Placed;
  std::set<common::VmId> Silent;
};

// Both readers lost power; they stayed elected until they counted as lost, and
// a version was in force too late.
TEST_F(StoreReaderElectionTest, SilentReadersAreReplacedBeforeTheyAreLost) {
  this->Silent = this->elected();
  ASSERT_EQ(this->Silent.size(), 2U);
  const std::set<common::VmId> Next = this->elected();
  EXPECT_EQ(Next.size(), 2U);
  for (const common::VmId &Vm : Next)
    EXPECT_FALSE(this->Silent.contains(Vm));
}

// Otherwise each standby VM of a large fleet would watch the store.
TEST_F(StoreReaderElectionTest, StandbyVmsAreNotElectedWhenAllPlacedAreSilent) {
  this->Placed = {this->Live[0], this->Live[1]};
  this->Silent = this->Placed;
  EXPECT_TRUE(this->elected().empty());
}

} // namespace acaciacross::discovery
