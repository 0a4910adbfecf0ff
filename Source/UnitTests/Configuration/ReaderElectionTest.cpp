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

// Guards against a number of readers, and thus of calls to the service, that
// grows with the fleet.
TEST_F(ReaderElectionTest, EachDomainHasTwoReadersInAnyOrderOfVms) {
  const auto Elected = ReaderElection::elect(this->Live);
  EXPECT_EQ(Elected.size(), 6U);
  std::reverse(this->Live.begin(), this->Live.end());
  EXPECT_EQ(ReaderElection::elect(this->Live), Elected);
}

// Guards against a failure with fewer VMs than readers, or with none.
TEST_F(ReaderElectionTest, DomainOfOneVmHasOneReader) {
  this->Live.resize(1);
  EXPECT_EQ(ReaderElection::elect(this->Live).size(), 1U);
  EXPECT_TRUE(ReaderElection::elect({}).empty());
}

// Guards against electing other readers anew when one is lost, which would
// start watches throughout the fleet at every loss.
TEST_F(ReaderElectionTest, LossOfReaderReplacesOnlyThatReader) {
  const auto Before = ReaderElection::elect(this->Live);
  const common::VmId Lost = *Before.begin();
  std::erase_if(this->Live, [&](const ReaderCandidate &Candidate) {
    return Candidate.Vm == Lost;
  });
  const auto After = ReaderElection::elect(this->Live);
  std::vector<common::VmId> Kept;
  std::set_intersection(Before.begin(), Before.end(), After.begin(),
                        After.end(), std::back_inserter(Kept));
  EXPECT_EQ(Kept.size(), 5U);
  EXPECT_EQ(After.size(), 6U);
}

// Guards against electing a leaving VM, which stops within seconds, or a
// joining VM, which lacks information, while a serving VM is available.
TEST_F(ReaderElectionTest, ServingVmsArePreferredAndLeavingOnesExcluded) {
  for (ReaderCandidate &Candidate : this->Live)
    Candidate.State = ServingState::Joining;
  EXPECT_EQ(ReaderElection::elect(this->Live).size(), 6U);
  this->Live[0].State = ServingState::Leaving;
  this->Live[3].State = ServingState::Serving;
  this->Live[4].State = ServingState::Serving;
  const auto Elected = ReaderElection::elect(this->Live);
  EXPECT_FALSE(Elected.contains(this->Live[0].Vm));
  EXPECT_TRUE(Elected.contains(this->Live[3].Vm));
  EXPECT_TRUE(Elected.contains(this->Live[4].Vm));
}

} // namespace acaciacross::configuration
