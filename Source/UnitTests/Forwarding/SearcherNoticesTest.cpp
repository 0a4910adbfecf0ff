#include "Forwarding/SearcherNotices.h"

#include "Forwarding/ServiceRegistry.h"
#include "TestSupport/ManualClock.h"

#include <gtest/gtest.h>

namespace acaciacross::forwarding {

using std::chrono::milliseconds;

/// Lists one searcher of the service "s" and passes on what it says of itself.
class SearcherNoticesTest : public testing::Test {
protected:
  SearcherNoticesTest() {
    this->Entry.Id = common::SearcherId("i-1");
    this->Entry.Service = common::ServiceName("s");
    this->Entry.Endpoint = {"127.0.0.1", 1'000};
    this->Entry.StartedUnixMs = 1;
    this->Registry.setSearchers({this->Entry});
  }

  ReplicaRecord &record() {
    return *this->Registry.replicas(this->Entry.Service).front();
  }

  bool notice(const SearcherNotice &Said) {
    return this->Registry.recordNotice(this->record(), Said,
                                       this->Time.monotonicNow());
  }

  bool isUsable() { return this->record().isUsable(this->Time.monotonicNow()); }

  /// The store stops listing the searcher and lists it again.
  void relist(const SearcherEntry &Again) {
    this->Registry.setSearchers({});
    this->Registry.setSearchers({Again});
  }

  testsupport::ManualClock Time;
  SearcherEntry Entry;
  ServiceRegistry Registry{
      RetryBudgetSettings{0.2, 1'000.0, milliseconds(10'000)}};
};

TEST_F(SearcherNoticesTest, LeavingSearcherIsNotUsableAgain) {
  EXPECT_TRUE(this->isUsable());
  EXPECT_TRUE(this->notice({true, std::nullopt, ""}));
  EXPECT_FALSE(this->isUsable());
  EXPECT_FALSE(this->notice({true, std::nullopt, ""})) << "logged once";
  this->Time.advance(milliseconds(600'000));
  EXPECT_FALSE(this->isUsable());
}

// The entry of a searcher that leaves may lapse and return while the store is
// in trouble.
TEST_F(SearcherNoticesTest, LeavingSearcherThatIsListedAgainIsNotUsable) {
  this->notice({true, std::nullopt, ""});
  this->relist(this->Entry);
  EXPECT_FALSE(this->isUsable());
}

TEST_F(SearcherNoticesTest, RestartedSearcherIsUsableAfterItLeft) {
  this->notice({true, std::nullopt, ""});
  SearcherEntry Restarted = this->Entry;
  Restarted.StartedUnixMs = 2;
  this->Registry.setSearchers({Restarted});
  EXPECT_TRUE(this->isUsable());
  this->relist(Restarted);
  EXPECT_TRUE(this->isUsable());
}

TEST_F(SearcherNoticesTest, PausedSearcherIsUsableAfterItsTime) {
  EXPECT_TRUE(this->notice({false, milliseconds(1'500), ""}));
  this->Time.advance(milliseconds(1'499));
  EXPECT_FALSE(this->isUsable());
  this->Time.advance(milliseconds(1));
  EXPECT_TRUE(this->isUsable());
}

// Responses may arrive in another order than they were sent.
TEST_F(SearcherNoticesTest, ShorterPauseDoesNotEndALongerOne) {
  this->notice({false, milliseconds(3'000), ""});
  this->notice({false, milliseconds(100), ""});
  this->Time.advance(milliseconds(2'000));
  EXPECT_FALSE(this->isUsable());
}

TEST_F(SearcherNoticesTest, PauseHoldsWhenTheSearcherIsListedAgain) {
  this->notice({false, milliseconds(3'000), ""});
  this->relist(this->Entry);
  EXPECT_FALSE(this->isUsable());
  this->Time.advance(milliseconds(3'000));
  EXPECT_TRUE(this->isUsable());
}

TEST_F(SearcherNoticesTest, InvalidPauseIsReportedOnceAndChangesNothing) {
  EXPECT_TRUE(this->notice({false, std::nullopt, "soon"}));
  EXPECT_FALSE(this->notice({false, std::nullopt, "soon"}));
  EXPECT_TRUE(this->isUsable());
}

// Searchers come and go; their notices must not add up without end.
TEST_F(SearcherNoticesTest, OldestNoticeIsDroppedForANewOne) {
  SearcherNotices Notices;
  const auto EntryOf = [](std::size_t Number) {
    SearcherEntry Searcher;
    Searcher.Id = common::SearcherId("i-" + std::to_string(Number));
    return Searcher;
  };
  for (std::size_t I = 0; I <= SearcherNotices::MaxSearchers; ++I) {
    this->Time.advance(milliseconds(1));
    Notices.recordLeaving(EntryOf(I), this->Time.monotonicNow());
  }
  ReplicaRecord Oldest(EntryOf(0));
  Notices.applyTo(Oldest);
  EXPECT_FALSE(Oldest.isLeaving());
  ReplicaRecord Newest(EntryOf(SearcherNotices::MaxSearchers));
  Notices.applyTo(Newest);
  EXPECT_TRUE(Newest.isLeaving());
}

} // namespace acaciacross::forwarding
