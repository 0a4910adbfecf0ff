#include "Upstreams/Ejector.h"

#include <algorithm>

namespace acaciacross::upstreams {

namespace {

// Only searchers with results in this period count towards a suspected fault of
// this VM. When one is suspected, ejections in this period are reverted.
constexpr std::chrono::seconds LocalFaultPeriod{10};
// A searcher without an ejection for this long starts again at the shortest
// ejection time.
constexpr std::chrono::minutes EjectionResetPeriod{10};

bool isRecent(const std::optional<common::MonotonicTime> &At,
              common::MonotonicTime Now) {
  return At && Now - *At <= LocalFaultPeriod;
}

} // namespace

Ejector::Ejector(std::unique_ptr<const EjectionPolicy> Rules,
                 SearcherStates &TrackedStates, const DrainRegistry &Registry,
                 UpstreamChanges &ChangeLog)
    : Policy(std::move(Rules)), States(TrackedStates), Drains(Registry),
      Changes(ChangeLog) {}

void Ejector::ejectIfFaulty(SearcherState &State, common::MonotonicTime Now) {
  if (State.EjectedAt || this->Drains.isLeaving(State.Identity.Index))
    return;
  if (!this->Policy->isFaulty(State.Statistics, Now))
    return;
  if (this->suspectsLocalFault(Now)) {
    this->suppressEjection(State, Now);
    return;
  }
  if (this->canEject(State))
    this->eject(State, Now);
}

void Ejector::restoreIfExpired(SearcherState &State,
                               common::MonotonicTime Now) {
  if (State.EjectedAt && Now >= State.EjectedUntil)
    this->restore(State, "ejection over", Now);
}

void Ejector::endEjection(SearcherState &State, const std::string &Cause,
                          common::MonotonicTime Now) {
  if (State.EjectedAt)
    this->restore(State, Cause, Now);
}

void Ejector::enforceEjectionLimit(const ReplicaGroup &Group,
                                   common::MonotonicTime Now) {
  const std::size_t MaxEjected = this->Policy->maxEjected(Group.size());
  std::size_t Ejected = this->countEjected(Group);
  for (const common::SearcherIndex Searcher : Group) {
    if (Ejected <= MaxEjected)
      return;
    const auto It = this->States.find(Searcher);
    if (It == this->States.end() || !It->second.EjectedAt)
      continue;
    this->restore(It->second, "shard has too few other replicas", Now);
    --Ejected;
  }
}

bool Ejector::canEject(const SearcherState &State) const {
  return std::all_of(
      State.Groups.begin(), State.Groups.end(), [&](const ReplicaGroup &Group) {
        if (this->countEjected(Group) >= this->Policy->maxEjected(Group.size()))
          return false;
        // Leaving replicas get no requests, so the limit alone does not protect
        // the last usable replica.
        return std::any_of(
            Group.begin(), Group.end(), [&](common::SearcherIndex Other) {
              return Other != State.Identity.Index && this->isUsable(Other);
            });
      });
}

bool Ejector::isUsable(common::SearcherIndex Searcher) const {
  const auto It = this->States.find(Searcher);
  return It != this->States.end() && !It->second.EjectedAt &&
         !this->Drains.isLeaving(Searcher);
}

bool Ejector::suspectsLocalFault(common::MonotonicTime Now) const {
  std::size_t ObservedCount = 0;
  std::size_t FailingCount = 0;
  for (const auto &[Searcher, State] : this->States) {
    const bool IsObserved =
        State.EjectedAt || isRecent(State.Statistics.lastResultAt(), Now);
    if (!IsObserved)
      continue;
    ++ObservedCount;
    if (State.EjectedAt || State.Statistics.isFailing())
      ++FailingCount;
  }
  return this->Policy->suspectsLocalFault(FailingCount, ObservedCount);
}

void Ejector::suppressEjection(const SearcherState &State,
                               common::MonotonicTime Now) {
  // A fault of this VM first appears as failures of a few searchers. Their
  // ejections were wrong.
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
  if (State.LastRestoredAt && Now - *State.LastRestoredAt > EjectionResetPeriod)
    State.ConsecutiveEjections = 0;
  State.EjectedAt = Now;
  State.EjectedUntil =
      Now + this->Policy->ejectionTime(State.ConsecutiveEjections);
  ++State.ConsecutiveEjections;
  this->Changes.record(State, UpstreamEventKind::Ejected,
                       "failure score " +
                           std::to_string(State.Statistics.failureScore()));
}

void Ejector::restore(SearcherState &State, const std::string &Cause,
                      common::MonotonicTime Now) {
  State.EjectedAt.reset();
  State.LastRestoredAt = Now;
  State.SlowStartBeganAt = Now;
  State.Statistics.clear();
  this->Changes.record(State, UpstreamEventKind::Restored, Cause);
}

std::size_t Ejector::countEjected(const ReplicaGroup &Group) const {
  return static_cast<std::size_t>(std::count_if(
      Group.begin(), Group.end(), [&](common::SearcherIndex Searcher) {
        const auto It = this->States.find(Searcher);
        return It != this->States.end() && It->second.EjectedAt.has_value();
      }));
}

} // namespace acaciacross::upstreams
