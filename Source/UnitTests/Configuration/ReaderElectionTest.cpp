#include "Configuration/ReaderElection.h"

#include <algorithm>
#include <iterator>

#include <gtest/gtest.h>

namespace acaciacross::configuration {

using membership::ServingState;

class ReaderElectionTest : public testing::Test {
protected:
  ReaderElectionTest() {
    for (int I = 0; I < 9; ++I)
      this->Live.push_back({common::VmId("entry-" + std::to_string(I)),
                            "rack-" + std::to_string(I % 3),
                            ServingState::Serving});
  }

  std::vector<ReaderCandidate> Live;
};

// More readers than these would grow the calls with the fleet.
TEST_F(ReaderElectionTest, EachDomainHasTwoReadersWhateverTheOrder) {
  const auto Elected = ReaderElection::readers(this->Live);
  EXPECT_EQ(Elected.size(), 6U);
  std::reverse(this->Live.begin(), this->Live.end());
  EXPECT_EQ(ReaderElection::readers(this->Live), Elected);
}

TEST_F(ReaderElectionTest, DomainOfOneVmHasOneReader) {
  this->Live.resize(1);
  EXPECT_EQ(ReaderElection::readers(this->Live).size(), 1U);
  EXPECT_TRUE(ReaderElection::readers({}).empty());
}

// The loss of a VM must not move the seats of the others, or every loss would
// start watches all over the fleet.
TEST_F(ReaderElectionTest, LossOfReaderFillsOnlyItsSeat) {
  const auto Before = ReaderElection::readers(this->Live);
  const common::VmId Lost = *Before.begin();
  std::erase_if(this->Live,
                [&](const ReaderCandidate &Each) { return Each.Vm == Lost; });
  const auto After = ReaderElection::readers(this->Live);
  std::vector<common::VmId> Kept;
  std::set_intersection(Before.begin(), Before.end(), After.begin(),
                        After.end(), std::back_inserter(Kept));
  EXPECT_EQ(Kept.size(), 5U);
  EXPECT_EQ(After.size(), 6U);
}

// A leaving VM stops within seconds; a joining one knows too little.
TEST_F(ReaderElectionTest, ServingVmsComeFirstAndLeavingOnesNever) {
  for (ReaderCandidate &Each : this->Live)
    Each.State = ServingState::Joining;
  EXPECT_EQ(ReaderElection::readers(this->Live).size(), 6U);
  this->Live[0].State = ServingState::Leaving;
  this->Live[3].State = ServingState::Serving;
  this->Live[4].State = ServingState::Serving;
  const auto Elected = ReaderElection::readers(this->Live);
  EXPECT_FALSE(Elected.contains(this->Live[0].Vm));
  EXPECT_TRUE(Elected.contains(this->Live[3].Vm));
  EXPECT_TRUE(Elected.contains(this->Live[4].Vm));
}

} // namespace acaciacross::configuration
