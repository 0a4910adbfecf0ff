#include "Routing/PowerOfTwoSelector.h"

#include "Common/SeededRandom.h"

#include <gtest/gtest.h>

#include <array>
#include <map>

namespace acaciacross::routing {

class PowerOfTwoSelectorTest : public testing::Test {
protected:
  void SetUp() override {
    for (std::uint32_t I = 0; I < 4; ++I) {
      query::SearcherView Searcher;
      Searcher.Index = common::SearcherIndex(I);
      Searcher.Slots = 2;
      Searcher.ConnectionQuota = 100;
      this->View.Searchers.push_back(Searcher);
      this->Shard.Replicas.push_back(I);
    }
    this->Selector.updateView(this->View);
  }

  /// Returns how often each position is chosen in the given number of
  /// selections. With KeepsRunning, each chosen attempt stays in flight.
  std::map<std::uint32_t, int> choose(int Selections, bool KeepsRunning) {
    std::map<std::uint32_t, int> Chosen;
    for (int I = 0; I < Selections; ++I) {
      const auto Position = this->Selector.select(this->View, this->Shard, {});
      if (!Position)
        continue;
      ++Chosen[*Position];
      if (KeepsRunning)
        this->Selector.onAttemptStarted(this->View.Searchers[*Position].Index);
    }
    return Chosen;
  }

  common::SeededRandom Random{1};
  PowerOfTwoSelector Selector{Random};
  query::ServiceView View;
  query::ShardView Shard;
};

// Attempts in flight must count as load, or equal replicas would be loaded
// unevenly.
TEST_F(PowerOfTwoSelectorTest, ChoicesAreSpreadOverEqualReplicas) {
  for (const auto &[Position, Count] : this->choose(40, true))
    EXPECT_NEAR(Count, 10, 2) << Position;
}

// P6: a query pinned to an older view must not select a searcher that has left
// since then.
TEST_F(PowerOfTwoSelectorTest, SearcherUnusableInTheNewestViewIsNeverChosen) {
  query::ServiceView Newest = this->View;
  Newest.Searchers[0].Availability = query::SearcherAvailability::Leaving;
  Newest.Searchers[1].Availability = query::SearcherAvailability::Ejected;
  Newest.Searchers.pop_back();
  this->Selector.updateView(Newest);
  const auto Chosen = this->choose(200, false);
  EXPECT_EQ(Chosen.size(), 1U);
  EXPECT_EQ(Chosen.count(2), 1U);
}

// Before the first view no quota is known, so an attempt could exceed the
// searcher's limit.
TEST_F(PowerOfTwoSelectorTest, SelectorWithoutAViewChoosesNothing) {
  PowerOfTwoSelector Fresh(this->Random);
  EXPECT_EQ(Fresh.select(this->View, this->Shard, {}), std::nullopt);
}

// More attempts than the quota would open more connections than this VM's share
// of the searcher's limit.
TEST_F(PowerOfTwoSelectorTest, ReplicaAtItsConnectionQuotaIsNotChosen) {
  for (query::SearcherView &Searcher : this->View.Searchers)
    Searcher.ConnectionQuota = 2;
  this->Selector.updateView(this->View);
  const auto Chosen = this->choose(50, true);
  for (std::uint32_t Position = 0; Position < 4; ++Position)
    EXPECT_EQ(Chosen.at(Position), 2) << Position;
  this->Selector.onAttemptEnded(common::SearcherIndex(3),
                                query::AttemptStatus::Answered);
  EXPECT_EQ(this->Selector.select(this->View, this->Shard, {}), 3U);
}

// A retry or hedge must not go to a replica that the query has excluded.
TEST_F(PowerOfTwoSelectorTest, ExcludedReplicasAreNotChosen) {
  const std::array<std::uint32_t, 3> Excluded{0, 1, 2};
  for (int I = 0; I < 50; ++I)
    EXPECT_EQ(this->Selector.select(this->View, this->Shard, Excluded), 3U);
}

// A cold searcher that gets its full share at once fails its first requests.
TEST_F(PowerOfTwoSelectorTest, ReplicaWithATenthShareGetsFewerAttempts) {
  this->View.Searchers[0].SlowStartWeight = 0.1;
  this->Selector.updateView(this->View);
  const auto Chosen = this->choose(62, true);
  EXPECT_LE(Chosen.at(0), 4);
}

// Without the preference, traffic would cross zones unnecessarily; with a
// strict one, the local replica would be overloaded.
TEST_F(PowerOfTwoSelectorTest, LocalReplicaIsPreferredUntilTwiceAsLoaded) {
  for (std::uint32_t I = 1; I < 4; ++I)
    this->View.Searchers[I].SameZone = false;
  this->Shard.Replicas = {0, 1};
  this->Selector.updateView(this->View);
  const auto Chosen = this->choose(30, true);
  EXPECT_NEAR(Chosen.at(0), 20, 1);
}

// A searcher that fails attempts at once always looks idle; selected by load
// alone it would get most of the attempts.
TEST_F(PowerOfTwoSelectorTest, FailingSearcherGetsOnlyProbes) {
  for (int I = 0; I < 10; ++I)
    this->Selector.onAttemptEnded(common::SearcherIndex(2),
                                  query::AttemptStatus::Lost);
  const auto Chosen = this->choose(1000, false);
  EXPECT_GT(Chosen.at(2), 0) << "no probe would detect its recovery";
  EXPECT_LT(Chosen.at(2), 40);
}

// A recovered searcher must not stay limited to probes.
TEST_F(PowerOfTwoSelectorTest, SearcherThatAnswersAgainGetsItsFullShare) {
  for (int I = 0; I < 10; ++I)
    this->Selector.onAttemptEnded(common::SearcherIndex(2),
                                  query::AttemptStatus::Lost);
  for (int I = 0; I < 10; ++I)
    this->Selector.onAttemptEnded(common::SearcherIndex(2),
                                  query::AttemptStatus::Answered);
  EXPECT_GT(this->choose(1000, false).at(2), 150);
}

// If all replicas were avoided, a shard that might still answer would be lost.
TEST_F(PowerOfTwoSelectorTest, FailingSearchersAreChosenWhenAllReplicasFail) {
  for (std::uint32_t Searcher = 0; Searcher < 4; ++Searcher)
    for (int I = 0; I < 10; ++I)
      this->Selector.onAttemptEnded(common::SearcherIndex(Searcher),
                                    query::AttemptStatus::Lost);
  EXPECT_TRUE(this->Selector.select(this->View, this->Shard, {}));
}

// The healthy replica of a shard becomes available within milliseconds; a
// failing one would lose the attempt, which costs retry budget or coverage.
TEST_F(PowerOfTwoSelectorTest,
       NoFailingReplicaIsChosenWhileAHealthyOneIsAtItsQuota) {
  this->View.Searchers[0].ConnectionQuota = 1;
  this->Selector.updateView(this->View);
  for (std::uint32_t Searcher = 1; Searcher < 4; ++Searcher)
    for (int I = 0; I < 10; ++I)
      this->Selector.onAttemptEnded(common::SearcherIndex(Searcher),
                                    query::AttemptStatus::Lost);
  this->Selector.onAttemptStarted(common::SearcherIndex(0));
  int Chosen = 0;
  for (const auto &[Position, Count] : this->choose(1000, false))
    Chosen += Count;
  EXPECT_LT(Chosen, 40) << "more than probes";
}

// A connection that is being closed still counts against the searcher's limit.
TEST_F(PowerOfTwoSelectorTest, ReservedConnectionsCountAgainstTheQuota) {
  this->View.Searchers.resize(1);
  this->Shard.Replicas = {0};
  this->View.Searchers[0].ConnectionQuota = 2;
  this->Selector.updateView(this->View);
  this->Selector.onAttemptStarted(common::SearcherIndex(0));
  this->Selector.setReservedConnections(common::SearcherIndex(0), 1);
  EXPECT_FALSE(this->Selector.select(this->View, this->Shard, {}));
  this->Selector.setReservedConnections(common::SearcherIndex(0), 0);
  EXPECT_TRUE(this->Selector.select(this->View, this->Shard, {}));
}

} // namespace acaciacross::routing
