#include "Traffic/AdmissionBounds.h"

#include "ViewBuilder.h"

#include <gtest/gtest.h>

namespace acaciacross::traffic {

using std::chrono::milliseconds;

class AdmissionBoundsTest : public testing::Test {
protected:
  limits::AdaptiveLimitSettings bounds() const {
    limits::AdaptiveLimitSettings Defaults;
    Defaults.Max = 7;
    return admissionBounds(common::ServiceName("lots"), *this->View, Defaults);
  }

  configuration::ClassDefinition &classNamed(const char *Name) {
    return this->View->Classes[common::ClassName(Name)];
  }

  std::shared_ptr<control::ControlView> View = makeView({"127.0.0.1", 1});
};

TEST_F(AdmissionBoundsTest, SmallestTargetsOfServiceDetermineBounds) {
  this->classNamed("read").LatencyTarget = milliseconds(80);
  this->classNamed("read").ExtraLoadTarget = 0.1;
  this->classNamed("book").ExtraLoadTarget = 0.04;
  this->classNamed("other").LatencyTarget = milliseconds(1);
  EXPECT_EQ(this->bounds().ToleratedDelay, milliseconds(20));
  EXPECT_DOUBLE_EQ(this->bounds().ToleratedShedShare, 0.02);
  EXPECT_EQ(this->bounds().Max, 7U);
}

// Guards against a tolerated share of 0, with which one shed attempt in 16
// queries would lower the limit of the service to one query.
TEST_F(AdmissionBoundsTest, ClassWithoutExtraLoadIsIgnored) {
  this->classNamed("read").ExtraLoadTarget = 0.1;
  this->classNamed("book").ExtraLoadTarget = 0.0;
  EXPECT_DOUBLE_EQ(this->bounds().ToleratedShedShare, 0.05);
  this->classNamed("read").ExtraLoadTarget = 0.0;
  EXPECT_DOUBLE_EQ(this->bounds().ToleratedShedShare,
                   limits::AdaptiveLimitSettings().ToleratedShedShare);
}

// Guards against bounds that are fixed when the thread starts: requests of a
// class with a lowered target would wait too long at the searchers.
TEST_F(AdmissionBoundsTest, ChangedTargetChangesTheBounds) {
  this->classNamed("read").LatencyTarget = milliseconds(80);
  ASSERT_EQ(this->bounds().ToleratedDelay, milliseconds(20));
  this->classNamed("read").LatencyTarget = milliseconds(40);
  EXPECT_EQ(this->bounds().ToleratedDelay, milliseconds(10));
}

} // namespace acaciacross::traffic
