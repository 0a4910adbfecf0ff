#include "ExecutionFixture.h"

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

class HedgeAndPartialAnswerPolicyTest : public ExecutionFixture {};

TEST_F(HedgeAndPartialAnswerPolicyTest,
       HedgeDelayFollowsTheTailLatencyOfTheRoute) {
  const Route Target = plainRoute(Repeatability::Repeatable);
  RouteStatistics Statistics;
  for (int I = 0; I < 100; ++I)
    Statistics.add(milliseconds(I < 85 ? 10 : 25));
  const auto Delay = this->Hedges.delay(Target, Statistics);
  EXPECT_GE(Delay, milliseconds(24));
  EXPECT_LE(Delay, milliseconds(30));
}

// A hedge close to the target could not meet it any more.
TEST_F(HedgeAndPartialAnswerPolicyTest, HedgeOfSlowRouteLeavesTimeForAnAnswer) {
  RouteStatistics Statistics;
  for (int I = 0; I < 100; ++I)
    Statistics.add(milliseconds(500));
  EXPECT_EQ(
      this->Hedges.delay(plainRoute(Repeatability::Repeatable), Statistics),
      milliseconds(40));
}

TEST_F(HedgeAndPartialAnswerPolicyTest,
       PartialAnswerLeavesTimeForThePathToTheCaller) {
  const auto Request = this->request(gatherRoute(2, 0.5));
  const auto Wait =
      this->PartialAnswers.partialAllowedFrom(*Request) - Request->ArrivedAt;
  // Of the 120 ms, four one-way delays of 3 ms to the caller, each up to twice
  // as long, must remain. At least half of the target is used for waiting.
  EXPECT_LE(Wait, milliseconds(120 - 4 * 2 * 3));
  EXPECT_GE(Wait, milliseconds(60));
}

// Guards against late answers to callers that set up a connection first. 30 in
// 100 of them got late answers, although each answer was in time for a caller
// on an open connection.
TEST_F(HedgeAndPartialAnswerPolicyTest,
       PartialAnswerIsEarlierForACallerThatHadWaited) {
  const auto NotWaited = this->request(gatherRoute(2, 0.5));
  NotWaited->WaitedBefore = milliseconds(0);
  const auto Waited = this->request(gatherRoute(2, 0.5));
  Waited->WaitedBefore = milliseconds(40);
  EXPECT_LT(this->PartialAnswers.partialAllowedFrom(*Waited),
            this->PartialAnswers.partialAllowedFrom(*NotWaited));
  EXPECT_LE(this->PartialAnswers.partialAllowedFrom(*Waited) -
                Waited->ArrivedAt,
            milliseconds(120 - 40 - 2 * 2 * 3));
}

// Under heavy load the network path back to the caller takes longer. Answering
// these callers later cost a day with twice the load 26 thousandths of its
// value.
TEST_F(HedgeAndPartialAnswerPolicyTest,
       CallerThatHadNotWaitedGetsTheDefaultWait) {
  const auto UnknownWait = this->request(gatherRoute(2, 0.5));
  const auto NotWaited = this->request(gatherRoute(2, 0.5));
  NotWaited->WaitedBefore = milliseconds(0);
  EXPECT_EQ(this->PartialAnswers.partialAllowedFrom(*NotWaited),
            this->PartialAnswers.partialAllowedFrom(*UnknownWait));
}

// The answer is late anyway, so it should at least be complete.
TEST_F(HedgeAndPartialAnswerPolicyTest,
       CallerWithMissedTargetGetsTheDefaultWait) {
  const auto UnknownWait = this->request(gatherRoute(2, 0.5));
  const auto Missed = this->request(gatherRoute(2, 0.5));
  Missed->WaitedBefore = milliseconds(300);
  EXPECT_EQ(this->PartialAnswers.partialAllowedFrom(*Missed),
            this->PartialAnswers.partialAllowedFrom(*UnknownWait));
}

} // namespace acaciacross::forwarding
