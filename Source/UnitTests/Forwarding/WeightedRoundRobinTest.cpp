#include "Forwarding/WeightedRoundRobin.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace acaciacross::forwarding {

class WeightedRoundRobinTest : public testing::Test {
protected:
  std::map<std::string, int> countNext(int Count) {
    std::map<std::string, int> Counts;
    for (int I = 0; I < Count; ++I)
      ++Counts[this->Rotation.next(this->Services).Value];
    return Counts;
  }

  std::vector<WeightedService> Services = {{common::ServiceName("a"), 0.7},
                                           {common::ServiceName("b"), 0.2},
                                           {common::ServiceName("c"), 0.1}};
  WeightedRoundRobin Rotation;
};

// With random selection, short runs would miss the bound of 0.1.
TEST_F(WeightedRoundRobinTest, ShortRunsKeepTheWeights) {
  for (int Run = 0; Run < 20; ++Run) {
    std::map<std::string, int> Counts = this->countNext(10);
    EXPECT_NEAR(Counts["a"], 7, 1);
    EXPECT_NEAR(Counts["b"], 2, 1);
    EXPECT_NEAR(Counts["c"], 1, 1);
  }
}

TEST_F(WeightedRoundRobinTest, ChangedWeightsTakeEffectAtOnce) {
  this->countNext(5);
  this->Services = {{common::ServiceName("b"), 1.0}};
  EXPECT_EQ(this->countNext(10)["b"], 10);
}

} // namespace acaciacross::forwarding
