#include "Upstreams/UpstreamTracker.h"

#include "Upstreams/SlowStart.h"

#include <algorithm>

namespace acaciacross::upstreams {

namespace {

// A searcher that drains says so in every reply, so a reply without the header
// this shortly before a health page shows that the page is wrong.
constexpr std::chrono::milliseconds CleanReplyPeriod{500};
// Pages count only while attempts say nothing, and only for a few polls.
constexpr std::chrono::seconds EvidencePeriod{2};
constexpr std::chrono::seconds PagePeriod{3};
constexpr double FailingPageShare = 0.1;
constexpr double QueueingPageShare = 0.5;

bool isWithin(const std::optional<common::MonotonicTime> &At,
              common::MonotonicTime Now, std::chrono::nanoseconds Period) {
  return At && Now - *At <= Period;
}

double pageShare(const SearcherState &State, common::MonotonicTime Now) {
  if (isWithin(State.Statistics.lastResultAt(), Now, EvidencePeriod))
    return 1.0;
  const bool IsFailing = isWithin(State.HealthAt, Now, PagePeriod) &&
                         State.Health.Status == HealthStatus::Failing;
  if (IsFailing)
    return FailingPageShare;
  const bool IsQueueing = isWithin(State.LoadAt, Now, PagePeriod) &&
                          State.Load.Queued / 2 >= State.Load.Slots;
  return IsQueueing ? QueueingPageShare : 1.0;
}

} // namespace

UpstreamTracker::UpstreamTracker(std::unique_ptr<const EjectionPolicy> Rules)
    : Ejections(std::move(Rules), this->States, this->Drains, this->Changes) {}

void UpstreamTracker::setService(const common::ServiceName &Service,
                                 const std::vector<TrackedSearcher> &Searchers,
                                 const std::vector<ReplicaGroup> &Groups,
                                 common::MonotonicTime Now) {
  const bool IsNewService = this->KnownServices.insert(Service).second;
  std::set<common::SearcherIndex> Kept;
  for (const TrackedSearcher &Searcher : Searchers) {
    Kept.insert(Searcher.Index);
    const auto [Position, IsNew] = this->States.try_emplace(Searcher.Index);
    SearcherState &State = Position->second;
    const bool IsMoved = !IsNew && State.Identity.Endpoint != Searcher.Endpoint;
    if (IsMoved) {
      // Another address is another process; nothing known applies to it.
      State = SearcherState();
      this->Drains.forget(Searcher.Index);
    }
    State.Identity = Searcher;
    State.Service = Service;
    State.Groups.clear();
    // The searchers of the first document that this VM sees are new to this VM
    // only.
    if (IsMoved || (IsNew && !IsNewService))
      this->warm(State, "new searcher", Now);
  }
  std::erase_if(this->States, [&](const auto &Entry) {
    const bool IsGone =
        Entry.second.Service == Service && !Kept.contains(Entry.first);
    if (IsGone)
      this->Drains.forget(Entry.first);
    return IsGone;
  });
  for (const ReplicaGroup &Group : Groups) {
    for (const common::SearcherIndex Member : Group)
      if (SearcherState *State = this->find(Member))
        State->Groups.push_back(Group);
    this->Ejections.enforceBound(Group, Now);
  }
  this->Changes.markChanged(Service);
}

void UpstreamTracker::applyEvidence(std::span<const UpstreamEvidence> Batch,
                                    common::MonotonicTime Now) {
  std::set<common::SearcherIndex> Touched;
  for (const UpstreamEvidence &Evidence : Batch) {
    SearcherState *State = this->find(Evidence.Searcher);
    if (State == nullptr)
      continue;
    const common::MonotonicTime At = std::min(Evidence.At, Now);
    if (this->isFromBeforePause(Evidence)) {
      if (Evidence.Draining)
        this->markLeaving(*State, DrainSource::Reply, At - Evidence.Elapsed);
      continue;
    }
    State->Statistics.add(Evidence.Status, At);
    if (Evidence.Status == query::AttemptStatus::NotSent)
      this->Drains.noteGone(Evidence.Searcher);
    // The sign is as old as the attempt may be: a reply of a process that has
    // been replaced since must not count against the new one.
    if (Evidence.Draining)
      this->markLeaving(*State, DrainSource::Reply, At - Evidence.Elapsed);
    else if (Evidence.Status == query::AttemptStatus::Answered)
      State->LastCleanReplyAt = At;
    this->refreshShare(*State, Now);
    Touched.insert(Evidence.Searcher);
  }
  // Only after the whole batch, so that a fault of this VM shows in full.
  for (const common::SearcherIndex Searcher : Touched)
    this->Ejections.consider(*this->find(Searcher), Now);
  this->Timed.merge(Touched);
}

void UpstreamTracker::applyHealth(common::SearcherIndex Searcher,
                                  const HealthPage &Page,
                                  common::MonotonicTime Now) {
  SearcherState *State = this->find(Searcher);
  if (State == nullptr)
    return;
  const bool WasWarm = State->HealthAt && !State->Health.Cold;
  State->Health = Page;
  State->HealthAt = Now;
  this->Timed.insert(Searcher);
  switch (Page.Status) {
  case HealthStatus::Refused:
    this->Drains.noteGone(Searcher);
    break;
  case HealthStatus::Draining:
    if (!isWithin(State->LastCleanReplyAt, Now, CleanReplyPeriod))
      this->markLeaving(*State, DrainSource::HealthPage, Now);
    break;
  case HealthStatus::InService:
    if (this->Drains.noteHealthy(Searcher, Page.Cold, Now))
      this->returnToService(*State, "health page of a new process", Now);
    else if (Page.Cold && WasWarm)
      this->warm(*State, "cold start", Now);
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
  this->Timed.insert(Searcher);
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
    const auto Position = Listed.find(Searcher);
    if (Position == Listed.end())
      this->Drains.noteGone(Searcher);
    else if (Position->second)
      this->markLeaving(State, DrainSource::VmList, Now);
    else if (this->Drains.noteListedLive(Searcher, Now))
      this->returnToService(State, "VM list", Now);
  }
}

void UpstreamTracker::applyNotice(common::SearcherIndex Searcher,
                                  std::chrono::milliseconds Age,
                                  common::MonotonicTime Now) {
  SearcherState *State = this->find(Searcher);
  const bool IsCurrent =
      Age >= std::chrono::milliseconds(0) && Age <= DrainRegistry::MaxNoticeAge;
  if (State != nullptr && IsCurrent)
    this->markLeaving(*State, DrainSource::Peer, Now - Age);
}

// An attempt that was under way in the pause ended late or not at all because
// of this VM, not of the searcher.
bool UpstreamTracker::isFromBeforePause(
    const UpstreamEvidence &Evidence) const {
  return this->PauseEndedAt &&
         Evidence.At - Evidence.Elapsed < *this->PauseEndedAt;
}

void UpstreamTracker::discardEvidence(common::MonotonicTime PauseEnd) {
  this->PauseEndedAt = PauseEnd;
  for (auto &[Searcher, State] : this->States) {
    if (State.EjectedAt)
      this->Changes.markChanged(State.Service);
    this->Ejections.lift(State, "this VM was paused", PauseEnd);
    State.Statistics = FailureStatistics();
    State.LastCleanReplyAt.reset();
    // Whether it was cold is kept, so that a cold start is noticed.
    State.Health.Status = HealthStatus::InService;
    State.Load.Queued = 0;
    this->Timed.insert(Searcher);
    this->refreshShare(State, PauseEnd);
  }
}

void UpstreamTracker::tick(common::MonotonicTime Now) {
  for (const common::SearcherIndex Searcher : this->Drains.expire(Now))
    if (SearcherState *State = this->find(Searcher))
      this->returnToService(*State, "no sign of a drain any more", Now);

  std::erase_if(this->Timed, [&](common::SearcherIndex Searcher) {
    SearcherState *State = this->find(Searcher);
    if (State == nullptr)
      return true;
    this->Ejections.expire(*State, Now);
    const bool IsWarm =
        State->WarmingSince && SlowStart::isOver(Now - *State->WarmingSince);
    if (IsWarm)
      State->WarmingSince.reset();
    this->refreshShare(*State, Now);
    return !State->EjectedAt && !State->WarmingSince && State->Share == 1.0;
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
UpstreamTracker::notices(common::MonotonicTime Now,
                         std::size_t MaxCount) const {
  std::vector<membership::DrainNotice> Notices;
  for (const auto &[Searcher, Age] : this->Drains.recent(Now, MaxCount))
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
  const auto Position = this->States.find(Searcher);
  return Position != this->States.end() ? &Position->second : nullptr;
}

const SearcherState *
UpstreamTracker::find(common::SearcherIndex Searcher) const {
  const auto Position = this->States.find(Searcher);
  return Position != this->States.end() ? &Position->second : nullptr;
}

void UpstreamTracker::markLeaving(SearcherState &State, DrainSource Source,
                                  common::MonotonicTime SignAt) {
  static constexpr const char *Names[] = {"reply", "health page", "VM list",
                                          "peer"};
  const bool IsWarm = !State.HealthAt || !State.Health.Cold;
  if (this->Drains.noteSign(State.Identity.Index, Source, SignAt, IsWarm))
    this->Changes.record(State, UpstreamEventKind::Leaving,
                         Names[static_cast<std::size_t>(Source)]);
}

void UpstreamTracker::returnToService(SearcherState &State,
                                      const std::string &Cause,
                                      common::MonotonicTime Now) {
  State.Statistics.clear();
  State.EjectedAt.reset();
  this->Changes.record(State, UpstreamEventKind::Returned, Cause);
  this->warm(State, Cause, Now);
}

void UpstreamTracker::warm(SearcherState &State, const std::string &Cause,
                           common::MonotonicTime Now) {
  State.WarmingSince = Now;
  this->Timed.insert(State.Identity.Index);
  this->Changes.record(State, UpstreamEventKind::Warming, Cause);
  this->refreshShare(State, Now);
}

void UpstreamTracker::refreshShare(SearcherState &State,
                                   common::MonotonicTime Now) {
  const double Warmth = State.WarmingSince
                            ? SlowStart::shareAfter(Now - *State.WarmingSince)
                            : 1.0;
  const double Share = std::min(Warmth, pageShare(State, Now));
  if (Share == State.Share)
    return;
  State.Share = Share;
  this->Changes.markChanged(State.Service);
}

} // namespace acaciacross::upstreams
