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

// Guards against a full reply, or a repeated change, for a reader that lacks a
// few changes only.
TEST_F(ChangeLogTest, ReaderWithinTheHistoryGetsTheChangesAfterItsRevision) {
  const ChangesReply Reply = this->Log.changesSince(1, 3);
  EXPECT_FALSE(Reply.Complete);
  ASSERT_EQ(Reply.Changes.size(), 2U);
  EXPECT_EQ(Reply.Changes[0].Revision, 2U);
  EXPECT_EQ(Reply.Changes[1].Text, "3");
}

// Guards against lost changes: a reader that is behind the history must be told
// that individual changes are missing.
TEST_F(ChangeLogTest, ReaderBehindTheHistoryGetsAllCurrentValues) {
  const ChangesReply Reply = this->Log.changesSince(0, 3);
  EXPECT_TRUE(Reply.Complete);
  ASSERT_EQ(Reply.Changes.size(), 2U);
  EXPECT_EQ(Reply.Changes[0].Key, "service/a");
  EXPECT_EQ(Reply.Changes[1].Revision, 3U);
}

// Guards against a stale service that shows newer changes.
TEST_F(ChangeLogTest, StaleServiceShowsNothingAfterItsRevision) {
  const ChangesReply Reply = this->Log.changesSince(3, 2);
  EXPECT_EQ(Reply.Revision, 2U);
  EXPECT_TRUE(Reply.Changes.empty());
}

} // namespace acaciacross::standins
