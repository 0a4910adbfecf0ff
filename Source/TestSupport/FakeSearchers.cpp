#include "TestSupport/FakeSearchers.h"

#include <algorithm>
#include <utility>

namespace acaciacross::testsupport {

using query::AttemptStatus;

FakeSearchers::FakeSearchers(EventQueue &Events, common::RandomSource &Random,
                             FakeSearcherSettings Settings, std::size_t Count,
                             ResultHandler OnResult)
    : Events(Events), Random(Random), Settings(Settings),
      OnResult(std::move(OnResult)), Searchers(Count) {}

void FakeSearchers::publish(const query::SnapshotView &Map) {
  auto &RangeOfShard = this->Ranges[Map.Id];
  RangeOfShard.clear();
  for (const query::ShardView &Shard : Map.Shards)
    RangeOfShard[Shard.Id] = Shard.Range;
}

void FakeSearchers::start(const query::AttemptSpec &Spec) {
  ++this->Counts.Sent;
  FakeFlight Flight;
  Flight.Spec = Spec;
  Flight.SentAt = this->Events.now();
  this->Flights.emplace(Spec.Id, std::move(Flight));
  this->Events.after(this->Settings.NetworkDelay,
                     [this, Id = Spec.Id] { this->arrive(Id); });
}

// The caller sees the attempt end at once; the searcher learns of it after the
// network delay and may have started or finished the work by then.
void FakeSearchers::cancel(const common::AttemptId &Id) {
  const auto Found = this->Flights.find(Id);
  if (Found == this->Flights.end())
    return;
  Found->second.IsCancelled = true;
  Found->second.IsDeliveredThoughCancelled =
      this->isOneIn(this->Settings.LateOneIn);
  if (!Found->second.IsDeliveredThoughCancelled)
    this->Events.after(this->Settings.NetworkDelay,
                       [this, Id] { this->cancelArrived(Id); });
}

void FakeSearchers::kill(common::SearcherIndex Searcher) {
  FakeSearcher &Killed = this->Searchers[Searcher.Value];
  Killed.IsAlive = false;
  std::vector<common::AttemptId> Broken(Killed.Running.begin(),
                                        Killed.Running.end());
  Broken.insert(Broken.end(), Killed.Queue.begin(), Killed.Queue.end());
  Killed.Running.clear();
  Killed.Queue.clear();
  for (const common::AttemptId &Id : Broken)
    this->endAfterDelay(Id, AttemptStatus::Lost);
}

void FakeSearchers::revive(common::SearcherIndex Searcher) {
  this->Searchers[Searcher.Value].IsAlive = true;
}

void FakeSearchers::dropSnapshot(common::SearcherIndex Searcher,
                                 const common::SnapshotId &Snapshot) {
  this->Searchers[Searcher.Value].Dropped.insert(Snapshot);
}

void FakeSearchers::failOneIn(common::SearcherIndex Searcher,
                              std::uint64_t Divisor) {
  this->Searchers[Searcher.Value].FailsOneIn = Divisor;
}

std::string FakeSearchers::bodyFor(const query::AttemptSpec &Spec) {
  return Spec.Request.Value + '|' + Spec.Snapshot.Value + '|' +
         std::to_string(Spec.Shard.Value) + '|' + Spec.Id.toString();
}

const std::vector<ExecutionRecord> &FakeSearchers::executions() const {
  return this->Executions;
}

const std::vector<DeliveryRecord> &FakeSearchers::deliveries() const {
  return this->Deliveries;
}

const FakeSearcherCounts &FakeSearchers::counts() const { return this->Counts; }

bool FakeSearchers::isOneIn(std::uint64_t Divisor) {
  return Divisor != 0 && this->Random.below(Divisor) == 0;
}

FakeSearcher &FakeSearchers::searcherOf(const FakeFlight &Flight) {
  return this->Searchers[Flight.Spec.Searcher.Value];
}

std::chrono::nanoseconds FakeSearchers::drawServiceTime() {
  const auto Mean =
      static_cast<std::uint64_t>(this->Settings.MeanServiceTime.count());
  const auto Drawn =
      static_cast<std::int64_t>(Mean / 2 + this->Random.below(Mean + 1));
  const bool IsSlow = this->isOneIn(this->Settings.SlowOneIn);
  return std::chrono::nanoseconds(Drawn) *
         (IsSlow ? this->Settings.SlowFactor : 1);
}

void FakeSearchers::arrive(const common::AttemptId &Id) {
  const FakeFlight &Flight = this->Flights.at(Id);
  if (const auto Refusal = this->refusalOf(Flight)) {
    this->endAfterDelay(Id, *Refusal);
    return;
  }
  FakeSearcher &Searcher = this->searcherOf(Flight);
  if (Searcher.Running.size() < this->Settings.Slots)
    this->execute(Id);
  else
    Searcher.Queue.push_back(Id);
}

std::optional<AttemptStatus>
FakeSearchers::refusalOf(const FakeFlight &Flight) {
  const FakeSearcher &Searcher = this->searcherOf(Flight);
  const auto Held = this->Ranges.find(Flight.Spec.Snapshot);
  if (!Searcher.IsAlive)
    return AttemptStatus::NotSent;
  if (Held == this->Ranges.end() ||
      Searcher.Dropped.contains(Flight.Spec.Snapshot))
    return AttemptStatus::SnapshotGone;
  if (!Held->second.contains(Flight.Spec.Shard))
    return AttemptStatus::ShardGone;
  if (this->Events.now() >= Flight.Spec.Deadline) {
    ++this->Counts.Expired;
    return AttemptStatus::ExpiredBeforeStart;
  }
  const bool IsFull = Searcher.Running.size() >= this->Settings.Slots &&
                      Searcher.Queue.size() >= this->Settings.QueueLimit;
  if (!IsFull)
    return std::nullopt;
  ++this->Counts.Shed;
  return AttemptStatus::Shed;
}

void FakeSearchers::execute(const common::AttemptId &Id) {
  FakeFlight &Flight = this->Flights.at(Id);
  FakeSearcher &Searcher = this->searcherOf(Flight);
  ++this->Counts.Executed;
  Flight.ExecutedAt = this->Events.now();
  Searcher.Running.insert(Id);
  if (this->Settings.KeepsRecords)
    this->Executions.push_back({Id, Flight.Spec.Request, Flight.Spec.Searcher,
                                Flight.Spec.Snapshot, Flight.Spec.Shard,
                                this->Events.now()});
  const bool IsFailing = this->isOneIn(Searcher.FailsOneIn);
  const auto Took =
      IsFailing ? this->Settings.MeanServiceTime / 10 : this->drawServiceTime();
  this->Counts.Failed += IsFailing ? 1 : 0;
  this->Events.after(Took, [this, Id, IsFailing] {
    const auto Found = this->Flights.find(Id);
    const bool IsRunning = Found != this->Flights.end() &&
                           this->searcherOf(Found->second).Running.contains(Id);
    if (!IsRunning)
      return;
    if (IsFailing) {
      this->releaseSlot(Id);
      this->endAfterDelay(Id, AttemptStatus::Lost);
    } else {
      this->complete(Id);
    }
  });
}

void FakeSearchers::complete(const common::AttemptId &Id) {
  this->releaseSlot(Id);
  const bool IsLost = this->isOneIn(this->Settings.LostOneIn);
  this->endAfterDelay(Id,
                      IsLost ? AttemptStatus::Lost : AttemptStatus::Answered);
}

void FakeSearchers::cancelArrived(const common::AttemptId &Id) {
  const auto Found = this->Flights.find(Id);
  if (Found == this->Flights.end())
    return;
  const FakeFlight &Flight = Found->second;
  FakeSearcher &Searcher = this->searcherOf(Flight);
  const auto Queued =
      std::find(Searcher.Queue.begin(), Searcher.Queue.end(), Id);
  if (Queued != Searcher.Queue.end()) {
    ++this->Counts.CancelledBeforeStart;
    Searcher.Queue.erase(Queued);
    this->Flights.erase(Found);
    return;
  }
  if (!Searcher.Running.contains(Id))
    return;
  ++this->Counts.CancelledRunning;
  this->Counts.CancelledWork += this->Events.now() - *Flight.ExecutedAt;
  this->releaseSlot(Id);
  this->Flights.erase(Id);
}

void FakeSearchers::releaseSlot(const common::AttemptId &Id) {
  const FakeFlight &Flight = this->Flights.at(Id);
  FakeSearcher &Searcher = this->searcherOf(Flight);
  this->Counts.Busy += this->Events.now() - *Flight.ExecutedAt;
  Searcher.Running.erase(Id);
  while (!Searcher.Queue.empty() &&
         Searcher.Running.size() < this->Settings.Slots) {
    const common::AttemptId Next = Searcher.Queue.front();
    Searcher.Queue.pop_front();
    if (this->Events.now() < this->Flights.at(Next).Spec.Deadline) {
      this->execute(Next);
      continue;
    }
    ++this->Counts.Expired;
    this->endAfterDelay(Next, AttemptStatus::ExpiredBeforeStart);
  }
}

void FakeSearchers::endAfterDelay(const common::AttemptId &Id,
                                  AttemptStatus Status) {
  this->Events.after(this->Settings.NetworkDelay,
                     [this, Id, Status] { this->deliver(Id, Status); });
}

void FakeSearchers::deliver(const common::AttemptId &Id, AttemptStatus Status) {
  const auto Found = this->Flights.find(Id);
  if (Found == this->Flights.end())
    return;
  const FakeFlight Flight = std::move(Found->second);
  this->Flights.erase(Found);
  if (Flight.IsCancelled && !Flight.IsDeliveredThoughCancelled)
    return;
  query::AttemptResult Result;
  Result.Attempt = Id;
  Result.Status = Status;
  Result.Elapsed = this->Events.now() - Flight.SentAt;
  if (Status == AttemptStatus::Answered)
    Result.Reply = this->makeReply(Flight);
  this->OnResult(Result);
}

query::ShardReply FakeSearchers::makeReply(const FakeFlight &Flight) {
  if (this->LastReply.Attempt != Flight.Spec.Id &&
      this->isOneIn(this->Settings.CrossedOneIn))
    return this->LastReply;
  query::ShardReply Reply;
  Reply.Attempt = Flight.Spec.Id;
  Reply.Snapshot = Flight.Spec.Snapshot;
  Reply.Shard = Flight.Spec.Shard;
  // The map may have been replaced while the work ran.
  Reply.Range = this->Ranges[Reply.Snapshot][Reply.Shard];
  Reply.Body = bodyFor(Flight.Spec);
  if (this->isOneIn(this->Settings.WrongOneIn)) {
    switch (this->Random.below(3)) {
    case 0:
      Reply.Snapshot.Value += "-other";
      break;
    case 1:
      Reply.Shard.Value += 1;
      break;
    default:
      ++Reply.Range.End;
      break;
    }
    return Reply;
  }
  this->LastReply = Reply;
  if (this->Settings.KeepsRecords)
    this->Deliveries.push_back({Flight.Spec.Id, Flight.Spec.Request,
                                Flight.Spec.Snapshot, Flight.Spec.Shard,
                                Reply.Range, Reply.Body});
  return Reply;
}

} // namespace acaciacross::testsupport
