#include "Discovery/StoreFollower.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acaciacross::discovery {

namespace {

// While the store drops its history, a waiting call may never be answered
// although its connection stays open, and changes must be in effect 3 s after
// the store has recovered. A shorter timeout would cost more calls, and each
// call is charged.
constexpr std::chrono::milliseconds WatchTimeout{1'500};
// Changes that follow each other within this time are read in one call. The
// delay adds to the age of the known state, which may be some seconds.
constexpr std::chrono::milliseconds BatchDelay{350};
constexpr std::chrono::milliseconds FirstBackOff{100};
constexpr std::chrono::milliseconds ResumeTimeout{20};
// A waiting call may be interrupted while the store is available, so one
// failure does not count as an outage.
constexpr unsigned FailuresUntilUnavailable = 2;

} // namespace

StoreFollower::StoreFollower(StoreListener &Listener, const common::Clock &Time,
                             common::RandomSource &Random)
    : Listener(Listener), Time(Time), Random(Random) {}

std::chrono::milliseconds StoreFollower::poll(StoreReader &Store,
                                              const StoreReadMode &Mode) {
  this->MaxBackOff = Mode.MaxBackOff;
  if (this->KnownPosition)
    this->KnownPosition = std::max(*this->KnownPosition, Mode.KnownPosition);
  this->KnownEra = std::max(this->KnownEra, Mode.KnownPosition.Era);
  this->CalledAt = this->Time.monotonicNow();
  return this->KnownPosition ? this->watch(Store) : this->readAll(Store);
}

void StoreFollower::suspend() {
  this->IsResuming = true;
  this->Failures = 0;
  this->IsUnavailable = false;
}

// The pages are not a consistent snapshot, so the watch starts at the lowest
// revision of any page; a change that another page already includes is applied
// twice. The first read after the start may be stale: it costs a tenth of a
// current read, and later changes come from the watch or from peers. Later
// reads must be current; a stale one could start the watch at a revision whose
// history is lost again. Pages of two eras have nothing in common, so all of
// them are read again.
std::chrono::milliseconds StoreFollower::readAll(StoreReader &Store) {
  const ReadConsistency Consistency = this->MayReadStale
                                          ? ReadConsistency::StaleAllowed
                                          : ReadConsistency::Current;
  const common::MonotonicTime CalledAt = this->Time.monotonicNow();
  std::vector<StoreItem> Items;
  std::optional<common::StorePosition> Position;
  bool HasMore = true;
  while (HasMore) {
    StorePage Page =
        Store.readPage(Items.empty() ? "" : Items.back().Key, Consistency);
    if (Page.Status != StoreStatus::Answered)
      return this->onFailure(Page.Problem);
    Page.Position.Era = this->resolveEra(Page.Position.Era, Page.InvalidEra);
    if (Page.Position.Era < this->KnownEra ||
        (Position && Position->Era != Page.Position.Era))
      return this->onOldEra();
    for (StoreItem &Item : Page.Items)
      Item.Position.Era = Page.Position.Era;
    Position = std::min(Position.value_or(Page.Position), Page.Position);
    HasMore = Page.HasMore && !Page.Items.empty();
    std::move(Page.Items.begin(), Page.Items.end(), std::back_inserter(Items));
  }
  this->onSuccess();
  this->MayReadStale = false;
  this->KnownPosition = Position;
  this->KnownEra = Position->Era;
  this->Listener.onSnapshot(std::move(Items),
                            this->answer(Consistency, CalledAt));
  return BatchDelay;
}

std::chrono::milliseconds StoreFollower::watch(StoreReader &Store) {
  // The other VMs wait for news of an answer, so the first one comes at once.
  const std::chrono::milliseconds Wait =
      std::exchange(this->IsResuming, false) ? ResumeTimeout : WatchTimeout;
  StoreChanges Answer = Store.awaitChanges(this->KnownPosition->Revision, Wait);
  if (Answer.Status == StoreStatus::Unavailable)
    return this->onFailure(Answer.Problem);
  Answer.Position.Era =
      this->resolveEra(Answer.Position.Era, Answer.InvalidEra);
  if (Answer.Position.Era < this->KnownEra)
    return this->onOldEra();
  // This answer tells no changes: after the known revision of the older era,
  // those of a newer one are not all. Reported as an answer, it would keep all
  // other VMs from reading, so everything is read now, even if this VM was to
  // read no longer.
  if (Answer.Status == StoreStatus::HistoryLost ||
      Answer.Position.Era > this->KnownPosition->Era) {
    this->KnownPosition.reset();
    this->Listener.onHistoryLost();
    return this->readAll(Store);
  }
  this->onSuccess();
  this->KnownPosition = std::max(*this->KnownPosition, Answer.Position);
  for (StoreChange &Change : Answer.Changes)
    Change.Item.Position.Era = Answer.Position.Era;
  const bool HasChanges = !Answer.Changes.empty();
  // The store answers at the end of the wait at the latest.
  const common::MonotonicTime GivenAt =
      std::min(this->Time.monotonicNow(), this->CalledAt + Wait);
  this->Listener.onChanges(std::move(Answer.Changes),
                           this->answer(ReadConsistency::Current, GivenAt));
  return HasChanges ? BatchDelay : std::chrono::milliseconds(0);
}

std::uint64_t StoreFollower::resolveEra(std::uint64_t Told,
                                        const std::string &InvalidEra) {
  if (!InvalidEra.empty() && !std::exchange(this->HasToldInvalidEra, true))
    this->Listener.onInvalidEra(InvalidEra);
  return Told == 0 ? this->KnownEra : Told;
}

// A stale read may come from before the return of the store.
std::chrono::milliseconds StoreFollower::onOldEra() {
  this->MayReadStale = false;
  return this->onFailure("an answer is of an older era of the store");
}

std::chrono::milliseconds StoreFollower::onFailure(const std::string &Problem) {
  ++this->Failures;
  this->Listener.onCallFailed(
      Problem, std::chrono::duration_cast<std::chrono::milliseconds>(
                   this->Time.monotonicNow() - this->CalledAt));
  // A VM of a large fleet that shares a rate of calls with the others begins to
  // call when none of them has had an answer for some time. It waits long as
  // soon as its own call fails, too.
  const bool SharesRate = this->MaxBackOff > StoreReadMode::UsualMaxBackOff;
  const unsigned FailuresNeeded = SharesRate ? 1 : FailuresUntilUnavailable;
  if (this->Failures >= FailuresNeeded && !this->IsUnavailable) {
    this->IsUnavailable = true;
    this->Listener.onUnavailable(Problem);
  }
  const auto MaxDelay =
      SharesRate && this->IsUnavailable
          ? this->MaxBackOff
          : std::min(StoreReadMode::UsualMaxBackOff,
                     FirstBackOff * (1 << std::min(this->Failures - 1, 4U)));
  // Jitter keeps the VMs of a fleet from calling at the same time.
  const auto HalfMs = static_cast<std::uint64_t>(MaxDelay.count()) / 2;
  return std::chrono::milliseconds(HalfMs + this->Random.below(HalfMs + 1));
}

StoreAnswer StoreFollower::answer(ReadConsistency Consistency,
                                  common::MonotonicTime GivenAt) const {
  return {Consistency, *this->KnownPosition, this->CalledAt, GivenAt,
          this->Time.monotonicNow()};
}

void StoreFollower::onSuccess() {
  this->Failures = 0;
  if (std::exchange(this->IsUnavailable, false))
    this->Listener.onAvailable();
}

} // namespace acaciacross::discovery
