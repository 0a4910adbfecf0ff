#include "Discovery/WriterOrder.h"

#include <gtest/gtest.h>

namespace acaciacross::discovery {

class WriterOrderTest : public testing::Test {
protected:
  static constexpr std::int64_t Start = 1'000;

  bool isOutdated(const SearcherReport &Report, std::uint64_t Era = 2) {
    return this->Order.isOutdated("a", Report, Era);
  }

  WriterOrder Order;
};

// A revision is newer within an era, whatever the entry says: writers of
// earlier deployments number nothing.
TEST_F(WriterOrderTest, NothingIsOutdatedWithinAnEra) {
  this->Order.record("a", {Start, 9, true}, 1);
  EXPECT_FALSE(this->isOutdated({Start, 3, false}, 1));
}

// The copy has the searcher ready that drains; requests would fail.
TEST_F(WriterOrderTest, DrainingSearcherIsBackWhenItStartsAnewOnly) {
  this->Order.record("a", {Start, 9, true}, 1);
  EXPECT_TRUE(this->isOutdated({Start, 8, false}));
  EXPECT_TRUE(this->isOutdated({Start, 10, false}));
  EXPECT_FALSE(this->isOutdated({Start, 9, true}));
  EXPECT_FALSE(this->isOutdated({Start + 1, 1, false}));
}

// A live searcher whose entry had lapsed would never be used again if its start
// alone counted.
TEST_F(WriterOrderTest, RemovedSearcherIsBackWhenItHasWrittenSince) {
  this->Order.record("a", {Start, 9, false}, 1);
  this->Order.recordRemoval("a", 1);
  EXPECT_TRUE(this->isOutdated({Start, 9, false}));
  EXPECT_FALSE(this->isOutdated({Start, 10, false}));
  EXPECT_FALSE(this->isOutdated({Start + 1, 1, false}));
  EXPECT_TRUE(this->isOutdated({Start - 1, 99, false}));
}

// What was lost is written again byte by byte.
TEST_F(WriterOrderTest, EntryThatIsWrittenAgainAfterARemovalOfTheEraIsNew) {
  this->Order.record("a", {Start, 9, false}, 1);
  this->Order.recordRemoval("a", 2);
  EXPECT_FALSE(this->isOutdated({Start, 9, false}));
}

TEST_F(WriterOrderTest, EntryThatIsWrittenAgainAsItWasIsNotOutdated) {
  this->Order.record("a", {Start, 9, false}, 1);
  EXPECT_FALSE(this->isOutdated({Start, 9, false}));
  EXPECT_TRUE(this->isOutdated({Start, 8, false}));
}

} // namespace acaciacross::discovery
