#include "StandIns/Platform/ChangeLog.h"

#include <gtest/gtest.h>

namespace acaciacross::standins {

class ChangeLogTest : public testing::Test {
protected:
  ChangeLogTest() {
    this->Log.publish("classes", "1");
    this->Log.publish("service/a", "2");
    this->Log.publish("classes", "3");
  }

  ChangeLog Log{2};
};

TEST_F(ChangeLogTest, ReaderWithinTheHistoryGetsTheChangesAfterItsRevision) {
  const ChangesReply Reply = this->Log.changesSince(1, 3);
  EXPECT_FALSE(Reply.Complete);
  ASSERT_EQ(Reply.Changes.size(), 2U);
  EXPECT_EQ(Reply.Changes[0].Revision, 2U);
  EXPECT_EQ(Reply.Changes[1].Text, "3");
}

// A reader that was away too long must learn that changes are missing.
TEST_F(ChangeLogTest, ReaderBehindTheHistoryGetsTheWholeCurrentSet) {
  const ChangesReply Reply = this->Log.changesSince(0, 3);
  EXPECT_TRUE(Reply.Complete);
  ASSERT_EQ(Reply.Changes.size(), 2U);
  EXPECT_EQ(Reply.Changes[0].Key, "service/a");
  EXPECT_EQ(Reply.Changes[1].Revision, 3U);
}

TEST_F(ChangeLogTest, StaleServiceShowsNothingAfterItsRevision) {
  const ChangesReply Reply = this->Log.changesSince(3, 2);
  EXPECT_EQ(Reply.Revision, 2U);
  EXPECT_TRUE(Reply.Changes.empty());
}

} // namespace acaciacross::standins
