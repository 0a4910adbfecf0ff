#include "Forwarding/LeastDelaySelector.h"

#include "ExecutionFixture.h"

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// One searcher in each of the failure domains "z0", "z1" and "z2"; this VM is
/// in "z1".
class LeastDelaySelectorTest : public ExecutionFixture {
protected:
  void SetUp() override {
    std::vector<SearcherEntry> Entries;
    for (int I = 0; I < 3; ++I) {
      SearcherEntry Entry;
      Entry.Id = common::SearcherId("i-" + std::to_string(I));
      Entry.Service = this->Service;
      Entry.FailureDomain = "z" + std::to_string(I);
      Entries.push_back(Entry);
    }
    this->Registry.setSearchers(Entries);
  }

  const std::shared_ptr<ReplicaRecord> &replica(std::size_t Index) {
    return this->Registry.replicas(this->Service)[Index];
  }

  /// Returns how many of 300 choices fall on each searcher.
  std::map<std::string, int> choose() {
    std::map<std::string, int> Counts;
    for (int I = 0; I < 300; ++I)
      ++Counts[this->Local
                   .choose(this->Registry.replicas(this->Service), {},
                           this->Sender, this->Time.monotonicNow(),
                           milliseconds(10))
                   ->entry()
                   .Id.Value];
    return Counts;
  }

  const common::ServiceName Service{"s"};
  LeastDelaySelector Local{this->Random, "z1"};
};

// Requests to other failure domains cost more time and are charged.
TEST_F(LeastDelaySelectorTest, SearcherOfTheOwnDomainIsChosenWhenAllAreIdle) {
  EXPECT_EQ(this->choose()["i-1"], 300);
}

TEST_F(LeastDelaySelectorTest, SlowSearcherOfTheOwnDomainIsAvoided) {
  for (int I = 0; I < 4; ++I)
    this->replica(1)->onAnswered(this->Time.monotonicNow(), milliseconds(40),
                                 milliseconds(10));
  auto Counts = this->choose();
  EXPECT_EQ(Counts["i-1"], 0);
  EXPECT_GT(Counts["i-0"], 50);
  EXPECT_GT(Counts["i-2"], 50);
}

// Load that one VM concentrates on a searcher must not build a queue there.
TEST_F(LeastDelaySelectorTest, BusySearcherOfTheOwnDomainIsAvoided) {
  for (int I = 0; I < 2; ++I)
    this->replica(1)->onSent(this->Time.monotonicNow());
  EXPECT_EQ(this->choose()["i-1"], 0);
}

TEST_F(LeastDelaySelectorTest, LeavingSearcherOfTheOwnDomainIsNotChosen) {
  this->replica(1)->onLeaving();
  EXPECT_EQ(this->choose()["i-1"], 0);
}

} // namespace acaciacross::forwarding
