#include "UnitTests/Query/QuerySchedule.h"

#include <string>

namespace acaciacross::query {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t DurationMs = 80;
constexpr std::size_t MaxSteps = 50'000;
constexpr double ExtraLoadTarget = 0.5;

} // namespace

QuerySchedule::QuerySchedule(std::uint64_t Seed, bool AllowRepeatable)
    : Random(Seed), AllowRepeatable(AllowRepeatable), Selector(this->Random),
      Runner(this->Events, this->Selector, common::Incarnation(Seed)),
      SearcherCount(static_cast<std::uint32_t>(3 + this->Random.below(6))),
      Searchers(this->Events, this->Random, drawSettings(this->Random),
                this->SearcherCount,
                [this](const AttemptResult &Result) {
                  this->Runner.onResult(Result);
                }),
      Budget(ExtraLoadTarget, 10), Hedging(milliseconds(3)) {
  this->Runner.setSearchers(this->Searchers);
  this->Runner.keepFinishedQueries();
  this->Runner.setFinishHandler([this](const testsupport::QueryRun &Run) {
    this->Finished.push_back({Run.Execution.request(), Run.Execution.outcome(),
                              Run.Execution.statistics(),
                              this->Searchers.deliveries().size()});
  });
  this->VisibleMaps.push_back(this->makeMap(common::SnapshotId("s1")));
  this->publishView();
}

void QuerySchedule::run() {
  this->scheduleEvents();
  while (this->Steps < MaxSteps && this->Events.runNext())
    ++this->Steps;
}

const std::vector<FinishedQuery> &QuerySchedule::finished() const {
  return this->Finished;
}

const testsupport::FakeSearchers &QuerySchedule::searchers() const {
  return this->Searchers;
}

const std::vector<SnapshotView> &QuerySchedule::maps() const {
  return this->Maps;
}

std::size_t QuerySchedule::submitted() const { return this->Submitted; }

bool QuerySchedule::hasEnded() const { return this->Steps < MaxSteps; }

testsupport::FakeSearcherSettings
QuerySchedule::drawSettings(common::RandomSource &Random) {
  const auto ZeroOr = [&](std::uint64_t Divisor) {
    return Random.below(2) == 0 ? 0 : Divisor;
  };
  testsupport::FakeSearcherSettings Settings;
  Settings.Slots = 1 + Random.below(2);
  Settings.QueueLimit = Random.below(3);
  Settings.SlowReplyOneIn = ZeroOr(4);
  Settings.SlowFactor = 5;
  Settings.LostReplyOneIn = ZeroOr(8);
  Settings.SwappedReplyOneIn = ZeroOr(6);
  Settings.WrongReplyOneIn = ZeroOr(6);
  Settings.LateReplyOneIn = ZeroOr(2);
  return Settings;
}

common::SearcherIndex QuerySchedule::drawSearcher() {
  return common::SearcherIndex(
      static_cast<std::uint32_t>(this->Random.below(this->SearcherCount)));
}

SnapshotView QuerySchedule::makeMap(const common::SnapshotId &Id) {
  SnapshotView Map;
  Map.Id = Id;
  const auto ShardCount = static_cast<std::uint32_t>(1 + this->Random.below(5));
  std::uint64_t Begin = 0;
  for (std::uint32_t I = 0; I < ShardCount; ++I) {
    ShardView Shard;
    Shard.Id = common::ShardId(I);
    const std::uint64_t End = Begin + 1 + this->Random.below(1'000);
    Shard.Range = {Begin, End};
    Begin = End;
    Shard.Documents = this->Random.below(100);
    const std::uint64_t First = this->Random.below(this->SearcherCount);
    const std::uint64_t Replicas = 1 + this->Random.below(3);
    for (std::uint64_t Offset = 0; Offset < Replicas; ++Offset)
      Shard.Replicas.push_back(
          static_cast<std::uint32_t>((First + Offset) % this->SearcherCount));
    Map.Shards.push_back(Shard);
  }
  this->Maps.push_back(Map);
  this->Searchers.publish(Map);
  return Map;
}

void QuerySchedule::publishView() {
  auto View = std::make_shared<ServiceView>();
  for (std::uint32_t I = 0; I < this->SearcherCount; ++I) {
    SearcherView Searcher;
    Searcher.Index = common::SearcherIndex(I);
    Searcher.Slots = 2;
    Searcher.ConnectionQuota = 4;
    if (this->Random.below(8) == 0)
      Searcher.Availability = SearcherAvailability::Ejected;
    View->Searchers.push_back(Searcher);
  }
  View->Snapshots.assign(this->VisibleMaps.rbegin(), this->VisibleMaps.rend());
  this->NewestView = View;
  this->Selector.updateView(*View);
  this->Runner.onViewChanged(this->NewestView);
}

void QuerySchedule::scheduleEvents() {
  const auto RandomTime = [this] {
    return std::chrono::microseconds(this->Random.below(DurationMs * 1'000));
  };
  const std::uint64_t QueryCount = 2 + this->Random.below(8);
  for (std::uint64_t I = 0; I < QueryCount; ++I)
    this->Events.after(RandomTime(), [this] { this->submitQuery(); });
  const std::uint64_t EventCount = this->Random.below(10);
  for (std::uint64_t I = 0; I < EventCount; ++I)
    this->Events.after(RandomTime(), [this] { this->runEvent(); });
}

void QuerySchedule::runEvent() {
  const common::SnapshotId Latest = this->VisibleMaps.back().Id;
  switch (this->Random.below(8)) {
  case 0:
  case 1:
    this->Searchers.kill(this->drawSearcher());
    break;
  case 2:
    this->Searchers.revive(this->drawSearcher());
    break;
  case 3:
    this->Searchers.dropSnapshot(this->drawSearcher(), Latest);
    break;
  case 4:
    // All searchers drop the oldest snapshot while the view still lists it.
    for (std::uint32_t I = 0; I < this->SearcherCount; ++I)
      this->Searchers.dropSnapshot(common::SearcherIndex(I),
                                   this->VisibleMaps.front().Id);
    break;
  case 5:
    this->VisibleMaps.push_back(this->makeMap(
        common::SnapshotId("s" + std::to_string(this->Maps.size() + 1))));
    this->publishView();
    break;
  case 6:
    // Replaces the map of a snapshot that queries may be pinned to.
    this->VisibleMaps.back() = this->makeMap(Latest);
    this->publishView();
    break;
  default:
    if (this->Submitted > 0)
      this->Runner.abort(1 + this->Random.below(this->Submitted),
                         common::ResultCode::Interrupted);
    break;
  }
}

void QuerySchedule::submitQuery() {
  ++this->Submitted;
  const milliseconds Timeout(
      static_cast<std::int64_t>(5 + this->Random.below(60)));
  QueryRequest Request;
  Request.Id = common::RequestId("r" + std::to_string(this->Submitted));
  Request.Deadline = this->Events.now() + Timeout;
  Request.WallDeadline = this->Events.wallNow() + Timeout;
  Request.LatencyTarget = this->Events.now() + Timeout / 2;
  Request.CoverageTarget = this->Random.below(2) == 0 ? 1.0 : 0.6;
  Request.Repeatable = this->AllowRepeatable && this->Random.below(4) != 0;
  this->Runner.submit(Request, this->NewestView, this->Hedging, this->Budget);
}

} // namespace acaciacross::query
