#include "Control/SearcherTable.h"

#include <gtest/gtest.h>

namespace acaciacross::control {

class SearcherTableTest : public testing::Test {
protected:
  static common::SearcherId id(int Number) {
    return common::SearcherId("crew-" + std::to_string(Number));
  }

  SearcherTable Table;
};

// Guards against queued evidence about a removed searcher that counts against
// another one.
TEST_F(SearcherTableTest, IndexOfRemovedSearcherIsNotReused) {
  const auto First = this->Table.assign(id(1));
  const auto Second = this->Table.assign(id(2));
  this->Table.retain({id(2)});
  EXPECT_EQ(this->Table.size(), 1U);
  EXPECT_FALSE(this->Table.find(id(1)));
  EXPECT_FALSE(this->Table.findId(First));
  EXPECT_EQ(this->Table.assign(id(2)), Second);
  const auto Returned = this->Table.assign(id(1));
  EXPECT_NE(Returned, First);
  EXPECT_NE(Returned, Second);
  EXPECT_EQ(this->Table.findId(Returned), id(1));
}

} // namespace acaciacross::control
