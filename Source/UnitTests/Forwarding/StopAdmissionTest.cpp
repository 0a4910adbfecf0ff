#include "Forwarding/StopAdmission.h"

#include "ExecutionFixture.h"

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

class StopAdmissionTest : public ExecutionFixture {
protected:
  /// Checks a request with a deadline 1 s from now.
  std::optional<Refusal> check() {
    const auto Request = this->request(plainRoute(Repeatability::AtMostOnce));
    const std::vector Services{Request->Target->Services.front().Service};
    return this->Admission.check(*Request, Services, this->Registry,
                                 this->Time.monotonicNow());
  }

  StopAdmission Admission;
};

TEST_F(StopAdmissionTest, RunningVmAdmitsEveryRequest) {
  EXPECT_FALSE(this->check());
}

// A request that may last longer than the rest of the stop was cut off at its
// end, after a searcher had run it.
TEST_F(StopAdmissionTest, RequestThatMayOutliveTheStopIsRefusedAsNotRun) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  this->Admission.begin(Now, Now + milliseconds(999));
  const auto Refused = this->check();
  ASSERT_TRUE(Refused);
  EXPECT_EQ(Refused->Code, common::ResultCode::NotServing);
  EXPECT_EQ(Refused->RetryAfter, StoppingRetryDelay);
}

TEST_F(StopAdmissionTest, RequestThatEndsBeforeTheStopIsAdmitted) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  this->Admission.begin(Now, Now + milliseconds(1'000));
  EXPECT_FALSE(this->check());
}

TEST_F(StopAdmissionTest, RequestEarlyInTheStopIsAdmittedWhateverItsDeadline) {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  this->Admission.begin(Now + milliseconds(1), Now + milliseconds(500));
  EXPECT_FALSE(this->check());
  this->Time.advance(milliseconds(1));
  EXPECT_TRUE(this->check());
}

} // namespace acaciacross::forwarding
