#include "Traffic/PollSchedule.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::traffic {

namespace {

constexpr std::chrono::seconds RateWindow{1};
constexpr double JitterFraction = 0.2;

} // namespace

PollSchedule::PollSchedule(PollLimits Limits, common::RandomSource &Random)
    : Limits(Limits), Random(Random) {}

void PollSchedule::updateService(std::shared_ptr<const query::ServiceView> View,
                                 common::MonotonicTime Now) {
  // Views are published twice a second, mostly with an unchanged service.
  if (View == this->Service)
    return;
  this->Service = std::move(View);
  std::set<common::SearcherIndex> Kept;
  if (this->Service)
    for (const query::SearcherView &Searcher : this->Service->Searchers)
      // Without a quota this VM must not connect to the searcher.
      if (Searcher.ConnectionQuota > 0) {
        this->add(Searcher, Now);
        Kept.insert(Searcher.Index);
      }
  std::erase_if(this->Entries, [&](const auto &Entry) {
    const bool IsGone = !Kept.contains(Entry.first);
    if (IsGone)
      this->DueOrder.erase({Entry.second.DueAt, Entry.first});
    return IsGone;
  });
}

void PollSchedule::add(const query::SearcherView &Searcher,
                       common::MonotonicTime Now) {
  const auto [Position, IsNew] = this->Entries.try_emplace(Searcher.Index);
  Position->second.Endpoint = Searcher.Endpoint;
  if (!IsNew)
    return;
  // A random delay spreads the first polls, because all searchers of a document
  // are added at the same time.
  const auto Delay = std::chrono::duration_cast<std::chrono::nanoseconds>(
      this->period() * this->Random.unitInterval());
  this->schedule(Searcher.Index, Now + Delay);
}

std::vector<PagePoll>
PollSchedule::takeDue(common::MonotonicTime Now,
                      const ConnectionAvailability &Connections) {
  if (Now - this->WindowStart >= RateWindow) {
    this->WindowStart = Now;
    this->StartedInWindow = 0;
  }
  std::vector<PagePoll> Due;
  while (!this->DueOrder.empty() && this->DueOrder.begin()->first <= Now &&
         this->Running < this->Limits.MaxConcurrent &&
         this->StartedInWindow < this->Limits.MaxPerSecond) {
    const common::SearcherIndex Searcher = this->DueOrder.begin()->second;
    if (!Connections.hasFreeConnection(Searcher)) {
      this->schedule(Searcher, Now + this->Limits.BusyRetryDelay);
      continue;
    }
    this->schedule(Searcher, Now + this->nextInterval());
    Due.push_back(
        {Searcher, this->Entries.at(Searcher).Endpoint, PageKind::Health});
    ++this->Running;
    ++this->StartedInWindow;
  }
  return Due;
}

std::optional<PagePoll>
PollSchedule::onPollFinished(const FinishedPoll &Finished,
                             const ConnectionAvailability &Connections) {
  --this->Running;
  const common::SearcherIndex Searcher = Finished.Poll.Searcher;
  const auto Position = this->Entries.find(Searcher);
  const bool IsKnown = Position != this->Entries.end() &&
                       Position->second.Endpoint == Finished.Poll.Endpoint;
  if (!IsKnown || !Finished.Page || Finished.Poll.Kind != PageKind::Health)
    return std::nullopt;
  const auto *Health = std::get_if<upstreams::HealthPage>(&Finished.Page->Page);
  const bool IsRefused =
      Health && Health->Status == upstreams::HealthStatus::Refused;
  if (IsRefused || !Connections.hasFreeConnection(Searcher))
    return std::nullopt;
  ++this->Running;
  return PagePoll{Searcher, Finished.Poll.Endpoint, PageKind::Load};
}

std::optional<common::MonotonicTime> PollSchedule::nextDue() const {
  if (this->DueOrder.empty() || this->Running >= this->Limits.MaxConcurrent)
    return std::nullopt;
  const common::MonotonicTime First = this->DueOrder.begin()->first;
  return this->StartedInWindow < this->Limits.MaxPerSecond
             ? First
             : std::max(First, this->WindowStart + RateWindow);
}

void PollSchedule::schedule(common::SearcherIndex Searcher,
                            common::MonotonicTime At) {
  PolledSearcher &Entry = this->Entries.at(Searcher);
  this->DueOrder.erase({Entry.DueAt, Searcher});
  Entry.DueAt = At;
  this->DueOrder.emplace(At, Searcher);
}

// Random intervals keep the polls of different entry VMs from synchronizing.
std::chrono::nanoseconds PollSchedule::nextInterval() {
  const double Factor =
      1.0 - JitterFraction + 2.0 * JitterFraction * this->Random.unitInterval();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(this->period() *
                                                              Factor);
}

std::chrono::nanoseconds PollSchedule::period() const {
  const std::chrono::nanoseconds PeriodAtOnePerSecond =
      RateWindow * std::max<std::size_t>(this->Service->Searchers.size(), 1);
  return std::max<std::chrono::nanoseconds>(
      this->Limits.Period,
      PeriodAtOnePerSecond /
          static_cast<std::int64_t>(this->Limits.MaxPerSecond));
}

} // namespace acaciacross::traffic
