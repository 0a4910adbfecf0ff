#include "Traffic/PollSchedule.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::traffic {

namespace {

constexpr std::chrono::seconds RateWindow{1};
constexpr double Jitter = 0.2;

} // namespace

PollSchedule::PollSchedule(PollLimits Bounds, common::RandomSource &Numbers)
    : Limits(Bounds), Random(Numbers) {}

void PollSchedule::updateService(std::shared_ptr<const query::ServiceView> View,
                                 common::MonotonicTime Now) {
  // Views are published twice a second, mostly with the same service.
  if (View == this->Service)
    return;
  this->Service = std::move(View);
  std::set<common::SearcherIndex> Kept;
  if (this->Service)
    for (const query::SearcherView &Searcher : this->Service->Searchers)
      // Without a quota this VM may not connect at all.
      if (Searcher.ConnectionQuota > 0) {
        this->add(Searcher, Now);
        Kept.insert(Searcher.Index);
      }
  std::erase_if(this->Entries, [&](const auto &Each) {
    const bool IsGone = !Kept.contains(Each.first);
    if (IsGone)
      this->Order.erase({Each.second.DueAt, Each.first});
    return IsGone;
  });
}

void PollSchedule::add(const query::SearcherView &Searcher,
                       common::MonotonicTime Now) {
  const auto [Position, IsNew] = this->Entries.try_emplace(Searcher.Index);
  Position->second.Endpoint = Searcher.Endpoint;
  if (!IsNew)
    return;
  // Spread, because all searchers of a document come at the same time.
  const auto Delay = std::chrono::duration_cast<std::chrono::nanoseconds>(
      this->period() * this->Random.unitInterval());
  this->schedule(Searcher.Index, Now + Delay);
}

std::vector<PagePoll> PollSchedule::takeDue(common::MonotonicTime Now,
                                            const PollRoom &Room) {
  if (Now - this->SecondSince >= RateWindow) {
    this->SecondSince = Now;
    this->StartedInSecond = 0;
  }
  std::vector<PagePoll> Due;
  while (!this->Order.empty() && this->Order.begin()->first <= Now &&
         this->Running < this->Limits.MaxAtOnce &&
         this->StartedInSecond < this->Limits.MaxPerSecond) {
    const common::SearcherIndex Searcher = this->Order.begin()->second;
    if (!Room.hasRoom(Searcher)) {
      this->schedule(Searcher, Now + this->Limits.SkipDelay);
      continue;
    }
    this->schedule(Searcher, Now + this->nextInterval());
    Due.push_back(
        {Searcher, this->Entries.at(Searcher).Endpoint, PageKind::Health});
    ++this->Running;
    ++this->StartedInSecond;
  }
  return Due;
}

std::optional<PagePoll> PollSchedule::onEnded(const EndedPoll &Ended,
                                              const PollRoom &Room) {
  --this->Running;
  const common::SearcherIndex Searcher = Ended.Poll.Searcher;
  const auto Position = this->Entries.find(Searcher);
  const bool IsKnown = Position != this->Entries.end() &&
                       Position->second.Endpoint == Ended.Poll.Endpoint;
  if (!IsKnown || !Ended.Page || Ended.Poll.Kind != PageKind::Health)
    return std::nullopt;
  const auto *Health = std::get_if<upstreams::HealthPage>(&Ended.Page->Page);
  const bool IsAway =
      Health && Health->Status == upstreams::HealthStatus::Refused;
  if (IsAway || !Room.hasRoom(Searcher))
    return std::nullopt;
  ++this->Running;
  return PagePoll{Searcher, Ended.Poll.Endpoint, PageKind::Load};
}

std::optional<common::MonotonicTime> PollSchedule::nextDue() const {
  if (this->Order.empty() || this->Running >= this->Limits.MaxAtOnce)
    return std::nullopt;
  const common::MonotonicTime First = this->Order.begin()->first;
  return this->StartedInSecond < this->Limits.MaxPerSecond
             ? First
             : std::max(First, this->SecondSince + RateWindow);
}

void PollSchedule::schedule(common::SearcherIndex Searcher,
                            common::MonotonicTime At) {
  PollEntry &Each = this->Entries.at(Searcher);
  this->Order.erase({Each.DueAt, Searcher});
  Each.DueAt = At;
  this->Order.emplace(At, Searcher);
}

// Polls of all entry VMs would otherwise keep step with each other.
std::chrono::nanoseconds PollSchedule::nextInterval() {
  const double Factor =
      1.0 - Jitter + 2.0 * Jitter * this->Random.unitInterval();
  return std::chrono::duration_cast<std::chrono::nanoseconds>(this->period() *
                                                              Factor);
}

std::chrono::nanoseconds PollSchedule::period() const {
  const std::chrono::nanoseconds Longest =
      RateWindow * std::max<std::size_t>(this->Service->Searchers.size(), 1);
  return std::max<std::chrono::nanoseconds>(
      this->Limits.Period,
      Longest / static_cast<std::int64_t>(this->Limits.MaxPerSecond));
}

} // namespace acaciacross::traffic
