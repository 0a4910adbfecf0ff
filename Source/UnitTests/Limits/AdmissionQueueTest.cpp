#include "Limits/AdmissionQueue.h"

#include <gtest/gtest.h>

namespace acaciacross::limits {

using std::chrono::milliseconds;

class AdmissionQueueTest : public testing::Test {
protected:
  void SetUp() override {
    for (const char *Name : {"a", "b"})
      this->Queue.configure(common::ClassName(Name),
                            {1.0, milliseconds(100), 99.0, 50});
  }

  AdmissionDecision offer(const char *Class, milliseconds TimeLeft) {
    return this->Queue.offer({++this->Number, common::ClassName(Class),
                              this->Now, this->Now + TimeLeft},
                             this->Now);
  }

  /// Ends the running query and returns the class of the next one.
  std::string next(const std::string &Class, milliseconds Latency) {
    this->Queue.onFinished(common::ClassName(Class), this->Now, Latency, 0.5);
    const auto Ready = this->Queue.takeReady(this->Now);
    return Ready.empty() ? "" : Ready.front().Class.Value;
  }

  common::MonotonicTime Now{std::chrono::seconds(10)};
  std::uint64_t Number = 0;
  AdmissionQueue Queue{{1, milliseconds(20)}};
};

TEST_F(AdmissionQueueTest, RequestsBeyondTheLimitWait) {
  EXPECT_EQ(this->offer("a", milliseconds(200)), AdmissionDecision::Admitted);
  EXPECT_EQ(this->offer("a", milliseconds(200)), AdmissionDecision::Queued);
  EXPECT_TRUE(this->Queue.takeReady(this->Now).empty());
  EXPECT_EQ(this->next("a", milliseconds(1)), "a");
}

TEST_F(AdmissionQueueTest, FullQueueRefuses) {
  for (int I = 0; I < 51; ++I)
    EXPECT_LE(this->offer("a", milliseconds(200)), AdmissionDecision::Queued);
  EXPECT_EQ(this->offer("a", milliseconds(200)),
            AdmissionDecision::RefusedOverloaded);
}

// A class with a long queue must not delay a class with few requests.
TEST_F(AdmissionQueueTest,
       ClassWithOneRequestIsServedAfterOneRequestOfALongQueue) {
  for (int I = 0; I < 40; ++I)
    this->offer("a", milliseconds(200));
  this->offer("b", milliseconds(200));
  std::string Served = this->next("a", milliseconds(1));
  if (Served != "b")
    Served = this->next("a", milliseconds(1));
  EXPECT_EQ(Served, "b");
}

TEST_F(AdmissionQueueTest, ClassWithTripleWeightIsServedThreeTimesAsOften) {
  this->Queue.configure(common::ClassName("a"),
                        {3.0, milliseconds(100), 99.0, 50});
  for (int I = 0; I < 40; ++I) {
    this->offer("a", milliseconds(200));
    this->offer("b", milliseconds(200));
  }
  int ServedFromA = 0;
  std::string Served = "a";
  for (int I = 0; I < 40; ++I) {
    Served = this->next(Served, milliseconds(1));
    ServedFromA += Served == "a" ? 1 : 0;
  }
  EXPECT_NEAR(ServedFromA, 30, 1);
}

// Work that finishes after its deadline takes slots from answers that are in
// time.
TEST_F(AdmissionQueueTest, RequestThatCannotFinishInTimeIsRefused) {
  this->offer("a", milliseconds(200));
  for (int I = 0; I < 10; ++I) {
    this->offer("a", milliseconds(200));
    this->next("a", milliseconds(50));
  }
  EXPECT_EQ(this->offer("a", milliseconds(40)),
            AdmissionDecision::RefusedDeadline);
}

// Latencies are measured only on requests that run. If all were refused after a
// slow minute, the measured latency would stay high for ever.
TEST_F(AdmissionQueueTest, RequestIsAdmittedWhenNoneIsRunning) {
  this->offer("a", milliseconds(200));
  for (int I = 0; I < 10; ++I) {
    this->next("a", milliseconds(50));
    this->offer("a", milliseconds(200));
  }
  this->next("a", milliseconds(50));
  EXPECT_EQ(this->offer("a", milliseconds(40)), AdmissionDecision::Admitted);
}

TEST_F(AdmissionQueueTest, WaitBeyondTheLatencyTargetExpires) {
  this->offer("a", milliseconds(500));
  this->offer("a", milliseconds(500));
  this->offer("a", milliseconds(50));
  ASSERT_EQ(this->Queue.nextExpiry(), this->Now + milliseconds(50));
  this->Now += milliseconds(100);
  const auto Expired = this->Queue.takeExpired(this->Now);
  ASSERT_EQ(Expired.size(), 2U);
  EXPECT_EQ(Expired[0].Code, common::ResultCode::Overloaded);
  EXPECT_EQ(Expired[1].Code, common::ResultCode::DeadlineTooShort);
  EXPECT_EQ(this->Queue.nextExpiry(), std::nullopt);
}

} // namespace acaciacross::limits
