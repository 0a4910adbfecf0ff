#include "Upstreams/UpstreamTracker.h"

#include "Upstreams/SlowStart.h"

#include <algorithm>

namespace acaciacross::upstreams {

namespace {

// A draining searcher sets a header in every reply, so a health page that
// reports a drain within this time of a reply without the header is wrong.
constexpr std::chrono::milliseconds NonDrainingReplyPeriod{500};
// Pages are used only when there are no recent attempt results, and only for
// the length of a few polls.
constexpr std::chrono::seconds AttemptResultLifetime{2};
constexpr std::chrono::seconds PageLifetime{3};
constexpr double FailingPageShare = 0.1;
constexpr double QueueingPageShare = 0.5;

bool isRecent(const std::optional<common::MonotonicTime> &At,
              common::MonotonicTime Now, std::chrono::nanoseconds Period) {
  return At && Now - *At <= Period;
}

double shareFromPages(const SearcherState &State, common::MonotonicTime Now) {
  if (isRecent(State.Statistics.lastResultAt(), Now, AttemptResultLifetime))
    return 1.0;
  const bool IsFailing = isRecent(State.HealthAt, Now, PageLifetime) &&
                         State.Health.Status == HealthStatus::Failing;
  if (IsFailing)
    return FailingPageShare;
  const bool IsQueueing = isRecent(State.LoadAt, Now, PageLifetime) &&
                          State.Load.Queued / 2 >= State.Load.Slots;
  return IsQueueing ? QueueingPageShare : 1.0;
}

} // namespace

UpstreamTracker::UpstreamTracker(std::unique_ptr<const EjectionPolicy> Rules)
    : SearcherEjector(std::move(Rules), this->States, this->Drains,
                      this->Changes) {}

void UpstreamTracker::setService(const common::ServiceName &Service,
                                 const std::vector<TrackedSearcher> &Searchers,
                                 const std::vector<ReplicaGroup> &Groups,
                                 common::MonotonicTime Now) {
  const bool IsNewService = this->KnownServices.insert(Service).second;
  std::set<common::SearcherIndex> Present;
  for (const TrackedSearcher &Searcher : Searchers) {
    Present.insert(Searcher.Index);
    const auto [It, IsNew] = this->States.try_emplace(Searcher.Index);
    SearcherState &State = It->second;
    const bool IsMoved = !IsNew && State.Identity.Endpoint != Searcher.Endpoint;
    if (IsMoved) {
      // Another address means another process, to which the recorded state does
      // not apply.
      State = SearcherState();
      this->Drains.erase(Searcher.Index);
    }
    State.Identity = Searcher;
    State.Service = Service;
    State.Groups.clear();
    // The searchers of a service's first document are new to this VM only, so
    // they need no slow start.
    if (IsMoved || (IsNew && !IsNewService))
      this->beginSlowStart(State, "new searcher", Now);
  }
  std::erase_if(this->States, [&](const auto &Entry) {
    const bool IsRemoved =
        Entry.second.Service == Service && !Present.contains(Entry.first);
    if (IsRemoved)
      this->Drains.erase(Entry.first);
    return IsRemoved;
  });
  for (const ReplicaGroup &Group : Groups) {
    for (const common::SearcherIndex Searcher : Group)
      if (SearcherState *State = this->find(Searcher))
        State->Groups.push_back(Group);
    this->SearcherEjector.enforceEjectionLimit(Group, Now);
  }
  this->Changes.markChanged(Service);
}

void UpstreamTracker::applyEvidence(std::span<const UpstreamEvidence> Batch,
                                    common::MonotonicTime Now) {
  std::set<common::SearcherIndex> UpdatedSearchers;
  for (const UpstreamEvidence &Evidence : Batch) {
    SearcherState *State = this->find(Evidence.Searcher);
    if (State == nullptr)
      continue;
    const common::MonotonicTime At = std::min(Evidence.At, Now);
    if (this->startedBeforePauseEnd(Evidence)) {
      if (Evidence.IsDraining)
        this->markLeaving(*State, DrainSource::Reply, At - Evidence.Elapsed);
      continue;
    }
    State->Statistics.add(Evidence.Status, At);
    if (Evidence.Status == query::AttemptStatus::NotSent)
      this->Drains.recordProcessGone(Evidence.Searcher);
    // The signal is dated to the start of the attempt, so that a reply of a
    // process that has been replaced since does not count against the new one.
    if (Evidence.IsDraining)
      this->markLeaving(*State, DrainSource::Reply, At - Evidence.Elapsed);
    else if (Evidence.Status == query::AttemptStatus::Answered)
      State->LastNonDrainingReplyAt = At;
    this->refreshShare(*State, Now);
    UpdatedSearchers.insert(Evidence.Searcher);
  }
  // Ejection is decided after the whole batch, so that a fault of this VM is
  // recognized by all the failures it caused.
  for (const common::SearcherIndex Searcher : UpdatedSearchers)
    this->SearcherEjector.ejectIfFaulty(*this->find(Searcher), Now);
  this->TimeDependent.merge(UpdatedSearchers);
}

void UpstreamTracker::applyHealth(common::SearcherIndex Searcher,
                                  const HealthPage &Page,
                                  common::MonotonicTime Now) {
  SearcherState *State = this->find(Searcher);
  if (State == nullptr)
    return;
  const bool WasWarm = State->HealthAt && !State->Health.IsCold;
  State->Health = Page;
  State->HealthAt = Now;
  this->TimeDependent.insert(Searcher);
  switch (Page.Status) {
  case HealthStatus::Refused:
    this->Drains.recordProcessGone(Searcher);
    break;
  case HealthStatus::Draining:
    if (!isRecent(State->LastNonDrainingReplyAt, Now, NonDrainingReplyPeriod))
      this->markLeaving(*State, DrainSource::HealthPage, Now);
    break;
  case HealthStatus::InService:
    if (this->Drains.recordInService(Searcher, Page.IsCold, Now))
      this->returnToService(*State, "health page of a new process", Now);
    else if (Page.IsCold && WasWarm)
      this->beginSlowStart(*State, "cold start", Now);
    break;
  case HealthStatus::Failing:
    break;
  }
  this->refreshShare(*State, Now);
}

void UpstreamTracker::applyLoad(common::SearcherIndex Searcher,
                                const LoadPage &Page,
                                common::MonotonicTime Now) {
  SearcherState *State = this->find(Searcher);
  if (State == nullptr)
    return;
  State->Load = Page;
  State->LoadAt = Now;
  this->TimeDependent.insert(Searcher);
  this->refreshShare(*State, Now);
}

void UpstreamTracker::applyPage(const PolledPage &Polled,
                                common::MonotonicTime Now) {
  const SearcherState *State = this->find(Polled.Searcher);
  if (State == nullptr || State->Identity.Endpoint != Polled.Endpoint)
    return;
  if (const auto *Health = std::get_if<HealthPage>(&Polled.Page))
    this->applyHealth(Polled.Searcher, *Health, Now);
  else
    this->applyLoad(Polled.Searcher, std::get<LoadPage>(Polled.Page), Now);
}

void UpstreamTracker::applyVmList(
    const std::map<common::SearcherIndex, bool> &Listed,
    common::MonotonicTime Now) {
  for (auto &[Searcher, State] : this->States) {
    const auto It = Listed.find(Searcher);
    if (It == Listed.end())
      this->Drains.recordProcessGone(Searcher);
    else if (It->second)
      this->markLeaving(State, DrainSource::VmList, Now);
    else if (this->Drains.recordListedLive(Searcher, Now))
      this->returnToService(State, "VM list", Now);
  }
}

void UpstreamTracker::applyDrainNotice(common::SearcherIndex Searcher,
                                       std::chrono::milliseconds Age,
                                       common::MonotonicTime Now) {
  SearcherState *State = this->find(Searcher);
  const bool IsCurrent =
      Age >= std::chrono::milliseconds(0) && Age <= DrainRegistry::MaxNoticeAge;
  if (State != nullptr && IsCurrent)
    this->markLeaving(*State, DrainSource::Peer, Now - Age);
}

// An attempt that was in progress during the pause ended late or not at all
// because of this VM, not because of the searcher.
bool UpstreamTracker::startedBeforePauseEnd(
    const UpstreamEvidence &Evidence) const {
  return this->PauseEndedAt &&
         Evidence.At - Evidence.Elapsed < *this->PauseEndedAt;
}

void UpstreamTracker::discardEvidence(common::MonotonicTime PauseEnd) {
  this->PauseEndedAt = PauseEnd;
  for (auto &[Searcher, State] : this->States) {
    if (State.EjectedAt)
      this->Changes.markChanged(State.Service);
    this->SearcherEjector.endEjection(State, "this VM was paused", PauseEnd);
    State.Statistics = FailureStatistics();
    State.LastNonDrainingReplyAt.reset();
    // Health.Cold is kept, so that a later cold start is detected.
    State.Health.Status = HealthStatus::InService;
    State.Load.Queued = 0;
    this->TimeDependent.insert(Searcher);
    this->refreshShare(State, PauseEnd);
  }
}

void UpstreamTracker::tick(common::MonotonicTime Now) {
  for (const common::SearcherIndex Searcher : this->Drains.expire(Now))
    if (SearcherState *State = this->find(Searcher))
      this->returnToService(*State, "no sign of a drain any more", Now);

  std::erase_if(this->TimeDependent, [&](common::SearcherIndex Searcher) {
    SearcherState *State = this->find(Searcher);
    if (State == nullptr)
      return true;
    this->SearcherEjector.restoreIfExpired(*State, Now);
    const bool IsSlowStartOver =
        State->SlowStartBeganAt &&
        SlowStart::isOver(Now - *State->SlowStartBeganAt);
    if (IsSlowStartOver)
      State->SlowStartBeganAt.reset();
    this->refreshShare(*State, Now);
    return !State->EjectedAt && !State->SlowStartBeganAt && State->Share == 1.0;
  });
}

query::SearcherAvailability
UpstreamTracker::availability(common::SearcherIndex Searcher) const {
  if (this->Drains.isLeaving(Searcher))
    return query::SearcherAvailability::Leaving;
  const SearcherState *State = this->find(Searcher);
  if (State != nullptr && State->EjectedAt)
    return query::SearcherAvailability::Ejected;
  return query::SearcherAvailability::Usable;
}

double UpstreamTracker::share(common::SearcherIndex Searcher) const {
  const SearcherState *State = this->find(Searcher);
  return State != nullptr ? State->Share : 1.0;
}

std::vector<membership::DrainNotice>
UpstreamTracker::drainNotices(common::MonotonicTime Now,
                              std::size_t MaxCount) const {
  std::vector<membership::DrainNotice> Notices;
  for (const auto &[Searcher, Age] : this->Drains.recentDrains(Now, MaxCount))
    if (const SearcherState *State = this->find(Searcher))
      Notices.push_back({State->Identity.Id, Age});
  return Notices;
}

std::vector<UpstreamEvent> UpstreamTracker::takeEvents() {
  return this->Changes.takeEvents();
}

std::set<common::ServiceName> UpstreamTracker::takeChangedServices() {
  return this->Changes.takeServices();
}

SearcherState *UpstreamTracker::find(common::SearcherIndex Searcher) {
  const auto It = this->States.find(Searcher);
  return It != this->States.end() ? &It->second : nullptr;
}

const SearcherState *
UpstreamTracker::find(common::SearcherIndex Searcher) const {
  const auto It = this->States.find(Searcher);
  return It != this->States.end() ? &It->second : nullptr;
}

void UpstreamTracker::markLeaving(SearcherState &State, DrainSource Source,
                                  common::MonotonicTime SignalAt) {
  static constexpr const char *Names[] = {"reply", "health page", "VM list",
                                          "peer"};
  const bool IsWarm = !State.HealthAt || !State.Health.IsCold;
  if (this->Drains.recordSignal(State.Identity.Index, Source, SignalAt, IsWarm))
    this->Changes.record(State, UpstreamEventKind::Leaving,
                         Names[static_cast<std::size_t>(Source)]);
}

void UpstreamTracker::returnToService(SearcherState &State,
                                      const std::string &Cause,
                                      common::MonotonicTime Now) {
  State.Statistics.clear();
  State.EjectedAt.reset();
  this->Changes.record(State, UpstreamEventKind::Returned, Cause);
  this->beginSlowStart(State, Cause, Now);
}

void UpstreamTracker::beginSlowStart(SearcherState &State,
                                     const std::string &Cause,
                                     common::MonotonicTime Now) {
  State.SlowStartBeganAt = Now;
  this->TimeDependent.insert(State.Identity.Index);
  this->Changes.record(State, UpstreamEventKind::Warming, Cause);
  this->refreshShare(State, Now);
}

void UpstreamTracker::refreshShare(SearcherState &State,
                                   common::MonotonicTime Now) {
  const double SlowStartShare =
      State.SlowStartBeganAt
          ? SlowStart::shareAfter(Now - *State.SlowStartBeganAt)
          : 1.0;
  const double Share = std::min(SlowStartShare, shareFromPages(State, Now));
  if (Share == State.Share)
    return;
  State.Share = Share;
  this->Changes.markChanged(State.Service);
}

} // namespace acaciacross::upstreams
