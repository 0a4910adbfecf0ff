#include "Discovery/StoreFollower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acaciacross::discovery {

namespace {

// While the store drops its history, a waiting call may never be answered
// although its connection stands, and what changes must be in effect 3 s after
// the store is well again. Each call is charged, so it is not shorter.
constexpr std::chrono::milliseconds WatchTime{1'500};
// Changes that follow each other within this time come in one answer. It adds
// to the age of what is known, of which seconds are allowed.
constexpr std::chrono::milliseconds GatherTime{350};
constexpr std::chrono::milliseconds FirstBackOff{100};
constexpr std::chrono::milliseconds MaxBackOff{1'000};
// A waiting call may be cut without harm to the store.
constexpr unsigned FailuresUntilAway = 2;

} // namespace

StoreFollower::StoreFollower(StoreListener &Receiver,
                             const common::Clock &TimeSource,
                             common::RandomSource &RandomNumbers)
    : Listener(Receiver), Time(TimeSource), Random(RandomNumbers) {}

std::chrono::milliseconds StoreFollower::step(StoreReader &Store,
                                              std::uint64_t KnownElsewhere) {
  if (this->Known)
    this->Known = std::max(*this->Known, KnownElsewhere);
  this->CalledAt = this->Time.monotonicNow();
  return this->Known ? this->watch(Store) : this->readAll(Store);
}

// Pages are no snapshot, so changes are taken from the oldest revision of a
// page on; a change that another page already shows is applied twice. The first
// read after the start may be stale: it is a tenth of the price, and what has
// changed since comes from the watch or from peers. Later ones may not, or the
// history that was lost could be missing again.
std::chrono::milliseconds StoreFollower::readAll(StoreReader &Store) {
  const ReadAge Age = this->HasRead ? ReadAge::Newest : ReadAge::MayBeStale;
  std::vector<StoreItem> Items;
  std::optional<std::uint64_t> Revision;
  bool HasMore = true;
  while (HasMore) {
    StorePage Page = Store.readPage(Items.empty() ? "" : Items.back().Key, Age);
    if (Page.Status != StoreStatus::Answered)
      return this->onFailure(Page.Problem);
    Revision = std::min(Revision.value_or(Page.Revision), Page.Revision);
    HasMore = Page.HasMore && !Page.Items.empty();
    std::move(Page.Items.begin(), Page.Items.end(), std::back_inserter(Items));
  }
  this->onSuccess(Age);
  this->HasRead = true;
  this->Known = Revision;
  this->Listener.onSnapshot(std::move(Items), *Revision);
  return GatherTime;
}

std::chrono::milliseconds StoreFollower::watch(StoreReader &Store) {
  StoreChanges Answer = Store.awaitChanges(*this->Known, WatchTime);
  if (Answer.Status == StoreStatus::Unavailable)
    return this->onFailure(Answer.Problem);
  this->onSuccess(ReadAge::Newest);
  if (Answer.Status == StoreStatus::HistoryLost) {
    this->Known.reset();
    this->Listener.onHistoryLost();
    return std::chrono::milliseconds(0);
  }
  this->Known = std::max(*this->Known, Answer.Revision);
  if (Answer.Changes.empty())
    return std::chrono::milliseconds(0);
  this->Listener.onChanges(std::move(Answer.Changes), *this->Known);
  return GatherTime;
}

std::chrono::milliseconds StoreFollower::onFailure(const std::string &Problem) {
  ++this->Failures;
  this->Listener.onCallFailed(
      Problem, std::chrono::duration_cast<std::chrono::milliseconds>(
                   this->Time.monotonicNow() - this->CalledAt));
  if (this->Failures >= FailuresUntilAway && !this->IsAway) {
    this->IsAway = true;
    this->Listener.onUnavailable(Problem);
  }
  const auto Longest = std::min(
      MaxBackOff, FirstBackOff * (1 << std::min(this->Failures - 1, 4U)));
  // Spread, so that the VMs of a fleet do not call together.
  const auto Half = static_cast<std::uint64_t>(Longest.count()) / 2;
  return std::chrono::milliseconds(Half + this->Random.below(Half + 1));
}

void StoreFollower::onSuccess(ReadAge Age) {
  this->Failures = 0;
  if (Age == ReadAge::Newest)
    this->Listener.onAnswered();
  if (std::exchange(this->IsAway, false))
    this->Listener.onAvailable();
}

} // namespace acaciacross::discovery
