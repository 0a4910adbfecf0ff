#include "Gateway/AnswerTime.h"
#include "Gateway/MemoryReturn.h"

#include <gtest/gtest.h>

namespace acaciacross::gateway {

class AnswerTimeTest : public testing::Test {};

// Guards against a large answer that a caller with a slow link cannot read in
// time, though a request of that size could be sent.
TEST_F(AnswerTimeTest, LargeAnswerGetsTimeByItsSize) {
  using std::chrono::milliseconds;
  EXPECT_EQ(answerTime(10, 1'000, milliseconds(500)), milliseconds(500));
  EXPECT_EQ(answerTime(3'500, 1'000, milliseconds(500)), milliseconds(2'000));
}

class MemoryReturnTest : public testing::Test {
protected:
  MemoryReturn Return{1'000};
};

TEST_F(MemoryReturnTest, OrdinaryUseReturnsNothing) {
  this->Return.update(200);
  this->Return.update(0);
  EXPECT_FALSE(this->Return.isDue());
}

TEST_F(MemoryReturnTest, CrowdThatHasLeftIsDueOnce) {
  this->Return.update(900);
  EXPECT_FALSE(this->Return.isDue());
  this->Return.update(100);
  EXPECT_TRUE(this->Return.isDue());
  this->Return.noteReturned();
  EXPECT_FALSE(this->Return.isDue());
}

} // namespace acaciacross::gateway
