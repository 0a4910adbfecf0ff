#include "Programs/LoadGenerator/ArrivalSchedule.h"

#include <gtest/gtest.h>

namespace acaciacross::loadgenerator {

class ArrivalScheduleTest : public testing::Test {
protected:
  ArrivalScheduleTest() {
    this->Settings.Mix = *ClassShare::parseMix("a:3,b:1:ticket");
  }

  LoadSettings Settings;
};

TEST_F(ArrivalScheduleTest, SameSeedGivesSameArrivals) {
  ArrivalSchedule First(this->Settings);
  ArrivalSchedule Second(this->Settings);
  for (int I = 0; I < 20; ++I) {
    const auto A = First.next();
    const auto B = Second.next();
    ASSERT_TRUE(A && B);
    EXPECT_EQ(A->SendAt, B->SendAt);
    EXPECT_EQ(A->ClassIndex, B->ClassIndex);
  }
}

// Without a bound a run would load the VMs until it is ended by hand.
TEST_F(ArrivalScheduleTest, RunEndsAfterMaxRequestsOrDuration) {
  this->Settings.MaxRequests = 5;
  ArrivalSchedule Counted(this->Settings);
  for (int I = 0; I < 5; ++I)
    EXPECT_TRUE(Counted.next());
  EXPECT_FALSE(Counted.next());

  this->Settings.Duration = std::chrono::milliseconds(0);
  EXPECT_FALSE(ArrivalSchedule(this->Settings).next());
}

TEST_F(ArrivalScheduleTest, MalformedMixIsRefused) {
  EXPECT_TRUE(this->Settings.Mix[1].NeedsTicket);
  EXPECT_FALSE(ClassShare::parseMix(""));
  EXPECT_FALSE(ClassShare::parseMix("a:0"));
  EXPECT_FALSE(ClassShare::parseMix("a:1:tickets"));
}

} // namespace acaciacross::loadgenerator
