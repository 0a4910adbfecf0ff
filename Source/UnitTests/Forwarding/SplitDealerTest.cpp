#include "Forwarding/SplitDealer.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace acaciacross::forwarding {

class SplitDealerTest : public testing::Test {
protected:
  std::map<std::string, int> deal(int Count) {
    std::map<std::string, int> Dealt;
    for (int I = 0; I < Count; ++I)
      ++Dealt[this->Dealer.deal(this->Services).Value];
    return Dealt;
  }

  std::vector<ServiceShare> Services = {{common::ServiceName("a"), 0.7},
                                        {common::ServiceName("b"), 0.2},
                                        {common::ServiceName("c"), 0.1}};
  SplitDealer Dealer;
};

// Shares that are drawn at random miss the bound of 0.1 in short runs.
TEST_F(SplitDealerTest, ShortRunsKeepTheWeights) {
  for (int Run = 0; Run < 20; ++Run) {
    std::map<std::string, int> Dealt = this->deal(10);
    EXPECT_NEAR(Dealt["a"], 7, 1);
    EXPECT_NEAR(Dealt["b"], 2, 1);
    EXPECT_NEAR(Dealt["c"], 1, 1);
  }
}

TEST_F(SplitDealerTest, ChangedWeightsTakeEffectAtOnce) {
  this->deal(5);
  this->Services = {{common::ServiceName("b"), 1.0}};
  EXPECT_EQ(this->deal(10)["b"], 10);
}

} // namespace acaciacross::forwarding
