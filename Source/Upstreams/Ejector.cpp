#include "Upstreams/Ejector.h"

#include <algorithm>

namespace acaciacross::upstreams {

namespace {

// Searchers with results this recent count for the suspicion against this VM;
// ejections this recent are taken back when it arises.
constexpr std::chrono::seconds SuspicionPeriod{10};
// After this long without an ejection the next one is short again.
constexpr std::chrono::minutes EjectionMemory{10};

bool isRecent(const std::optional<common::MonotonicTime> &At,
              common::MonotonicTime Now) {
  return At && Now - *At <= SuspicionPeriod;
}

} // namespace

Ejector::Ejector(std::unique_ptr<const EjectionPolicy> Rules,
                 SearcherStates &AllStates, const DrainRegistry &AllDrains,
                 UpstreamChanges &Log)
    : Policy(std::move(Rules)), States(AllStates), Drains(AllDrains),
      Changes(Log) {}

void Ejector::consider(SearcherState &State, common::MonotonicTime Now) {
  if (State.EjectedAt || this->Drains.isLeaving(State.Identity.Index))
    return;
  if (!this->Policy->isFaulty(State.Statistics, Now))
    return;
  if (this->suspectsSelf(Now)) {
    this->suppress(State, Now);
    return;
  }
  if (this->mayEject(State))
    this->eject(State, Now);
}

void Ejector::expire(SearcherState &State, common::MonotonicTime Now) {
  if (State.EjectedAt && Now >= State.EjectedUntil)
    this->restore(State, "ejection over", Now);
}

void Ejector::lift(SearcherState &State, const std::string &Cause,
                   common::MonotonicTime Now) {
  if (State.EjectedAt)
    this->restore(State, Cause, Now);
}

void Ejector::enforceBound(const ReplicaGroup &Group,
                           common::MonotonicTime Now) {
  const std::size_t Most = this->Policy->maxEjected(Group.size());
  std::size_t Ejected = this->countEjected(Group);
  for (const common::SearcherIndex Member : Group) {
    if (Ejected <= Most)
      return;
    const auto Position = this->States.find(Member);
    if (Position == this->States.end() || !Position->second.EjectedAt)
      continue;
    this->restore(Position->second, "shard has too few other replicas", Now);
    --Ejected;
  }
}

bool Ejector::mayEject(const SearcherState &State) const {
  return std::all_of(
      State.Groups.begin(), State.Groups.end(), [&](const ReplicaGroup &Group) {
        if (this->countEjected(Group) >= this->Policy->maxEjected(Group.size()))
          return false;
        // Leaving replicas serve nothing, so the bound alone could take the
        // last usable one.
        return std::any_of(
            Group.begin(), Group.end(), [&](common::SearcherIndex Other) {
              return Other != State.Identity.Index && this->isUsable(Other);
            });
      });
}

bool Ejector::isUsable(common::SearcherIndex Searcher) const {
  const auto Position = this->States.find(Searcher);
  return Position != this->States.end() && !Position->second.EjectedAt &&
         !this->Drains.isLeaving(Searcher);
}

bool Ejector::suspectsSelf(common::MonotonicTime Now) const {
  std::size_t Observed = 0;
  std::size_t Failing = 0;
  for (const auto &[Searcher, State] : this->States) {
    const bool IsObserved =
        State.EjectedAt || isRecent(State.Statistics.lastResultAt(), Now);
    if (!IsObserved)
      continue;
    ++Observed;
    if (State.EjectedAt || State.Statistics.isFailing())
      ++Failing;
  }
  return this->Policy->suspectsSelf(Failing, Observed);
}

void Ejector::suppress(const SearcherState &State, common::MonotonicTime Now) {
  // A fault of this VM shows first as failures of a few searchers, whose
  // ejections turn out to be wrong now.
  for (auto &[Searcher, Other] : this->States)
    if (isRecent(Other.EjectedAt, Now))
      this->restore(Other, "this VM suspects itself", Now);
  if (isRecent(this->SuppressionLoggedAt, Now))
    return;
  this->SuppressionLoggedAt = Now;
  this->Changes.record(State, UpstreamEventKind::EjectionSuppressed,
                       "most searchers fail");
}

void Ejector::eject(SearcherState &State, common::MonotonicTime Now) {
  if (State.LastRestoredAt && Now - *State.LastRestoredAt > EjectionMemory)
    State.Ejections = 0;
  State.EjectedAt = Now;
  State.EjectedUntil = Now + this->Policy->ejectionTime(State.Ejections);
  ++State.Ejections;
  this->Changes.record(State, UpstreamEventKind::Ejected,
                       "failure score " +
                           std::to_string(State.Statistics.failureScore()));
}

void Ejector::restore(SearcherState &State, const std::string &Cause,
                      common::MonotonicTime Now) {
  State.EjectedAt.reset();
  State.LastRestoredAt = Now;
  State.WarmingSince = Now;
  State.Statistics.clear();
  this->Changes.record(State, UpstreamEventKind::Restored, Cause);
}

std::size_t Ejector::countEjected(const ReplicaGroup &Group) const {
  return static_cast<std::size_t>(std::count_if(
      Group.begin(), Group.end(), [&](common::SearcherIndex Member) {
        const auto Position = this->States.find(Member);
        return Position != this->States.end() &&
               Position->second.EjectedAt.has_value();
      }));
}

} // namespace acaciacross::upstreams
