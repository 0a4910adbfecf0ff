#include "Control/AuditTrail.h"

#include <gtest/gtest.h>

namespace acaciacross::control {

class AuditTrailTest : public testing::Test {
protected:
  void append(std::size_t Count) {
    for (std::size_t I = 0; I < Count; ++I)
      this->Trail.append(common::WallTime(), "evidence", "crew-0", "ejected");
  }

  AuditTrail Trail;
};

// Guards against missing or repeated entries when an operator continues reading
// from the last sequence number.
TEST_F(AuditTrailTest, AfterGivesOnlyLaterEntriesInOrder) {
  EXPECT_TRUE(this->Trail.after(0).empty());
  this->append(5);
  EXPECT_EQ(this->Trail.after(0).size(), 5U);
  const auto Later = this->Trail.after(3);
  ASSERT_EQ(Later.size(), 2U);
  EXPECT_EQ(Later[0].Sequence, 4U);
  EXPECT_TRUE(this->Trail.after(5).empty());
  EXPECT_TRUE(this->Trail.after(99).empty());
}

// Guards against a trail that grows for as long as the process runs.
TEST_F(AuditTrailTest, AppendToFullTrailDropsTheOldestEntry) {
  this->append(AuditTrail::MaxEntries + 10);
  const auto All = this->Trail.after(0);
  ASSERT_EQ(All.size(), AuditTrail::MaxEntries);
  EXPECT_EQ(All.front().Sequence, 11U);
  EXPECT_EQ(All.back().Sequence, AuditTrail::MaxEntries + 10);
  EXPECT_EQ(this->Trail.after(11).front().Sequence, 12U);
}

} // namespace acaciacross::control
