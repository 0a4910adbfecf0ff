#include "Forwarding/TopRecords.h"

#include <gtest/gtest.h>

namespace acaciacross::forwarding {

class TopRecordsTest : public testing::Test {
protected:
  static std::string record(char Letter) {
    return std::string(TopRecords::RecordBytes, Letter);
  }
};

// Large parts of many shards, held until the last one arrived, exceeded the
// memory of the VM.
TEST_F(TopRecordsTest, ReducedPartHoldsOnlyTheRecordsNeeded) {
  std::string Part;
  for (int I = 0; I < 10'000; ++I)
    Part += record(static_cast<char>('a' + I % 5));
  TopRecords::reduce(Part, 2);
  EXPECT_EQ(Part, record('e') + record('e'));
  EXPECT_LE(Part.capacity(), 4 * TopRecords::RecordBytes);
}

TEST_F(TopRecordsTest, SmallPartStaysUnchanged) {
  std::string Part = record('a') + record('c') + record('b') + "rest";
  TopRecords::reduce(Part, 3);
  EXPECT_EQ(Part, record('a') + record('c') + record('b') + "rest");
}

} // namespace acaciacross::forwarding
