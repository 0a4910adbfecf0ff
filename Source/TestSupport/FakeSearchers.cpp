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
  FakeAttempt Attempt;
  Attempt.Spec = Spec;
  Attempt.SentAt = this->Events.now();
  this->Attempts.emplace(Spec.Id, std::move(Attempt));
  this->Events.after(this->Settings.NetworkDelay,
                     [this, Id = Spec.Id] { this->onArrived(Id); });
}

// The attempt ends at once for the caller. The cancellation reaches the
// searcher after the network delay, when the work may have started or finished.
void FakeSearchers::cancel(const common::AttemptId &Id) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return;
  Found->second.IsCancelled = true;
  Found->second.IsDeliveredAfterCancel =
      this->happensOneIn(this->Settings.LateReplyOneIn);
  if (!Found->second.IsDeliveredAfterCancel)
    this->Events.after(this->Settings.NetworkDelay,
                       [this, Id] { this->onCancelArrived(Id); });
}

void FakeSearchers::kill(common::SearcherIndex Searcher) {
  FakeSearcher &Killed = this->Searchers[Searcher.Value];
  Killed.IsAlive = false;
  std::vector<common::AttemptId> LostAttempts(Killed.Running.begin(),
                                              Killed.Running.end());
  LostAttempts.insert(LostAttempts.end(), Killed.Queue.begin(),
                      Killed.Queue.end());
  Killed.Running.clear();
  Killed.Queue.clear();
  for (const common::AttemptId &Id : LostAttempts)
    this->endAfterDelay(Id, AttemptStatus::Lost);
}

void FakeSearchers::revive(common::SearcherIndex Searcher) {
  this->Searchers[Searcher.Value].IsAlive = true;
}

void FakeSearchers::dropSnapshot(common::SearcherIndex Searcher,
                                 const common::SnapshotId &Snapshot) {
  this->Searchers[Searcher.Value].DroppedSnapshots.insert(Snapshot);
}

void FakeSearchers::setFailOneIn(common::SearcherIndex Searcher,
                                 std::uint64_t Divisor) {
  this->Searchers[Searcher.Value].FailsOneIn = Divisor;
}

std::string FakeSearchers::expectedBody(const query::AttemptSpec &Spec) {
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

bool FakeSearchers::happensOneIn(std::uint64_t Divisor) {
  return Divisor != 0 && this->Random.below(Divisor) == 0;
}

FakeSearcher &FakeSearchers::searcherOf(const FakeAttempt &Attempt) {
  return this->Searchers[Attempt.Spec.Searcher.Value];
}

std::chrono::nanoseconds FakeSearchers::drawServiceTime() {
  const auto Mean =
      static_cast<std::uint64_t>(this->Settings.MeanServiceTime.count());
  const auto ServiceTime =
      static_cast<std::int64_t>(Mean / 2 + this->Random.below(Mean + 1));
  const bool IsSlow = this->happensOneIn(this->Settings.SlowReplyOneIn);
  return std::chrono::nanoseconds(ServiceTime) *
         (IsSlow ? this->Settings.SlowFactor : 1);
}

void FakeSearchers::onArrived(const common::AttemptId &Id) {
  const FakeAttempt &Attempt = this->Attempts.at(Id);
  if (const auto Refusal = this->refusalStatus(Attempt)) {
    this->endAfterDelay(Id, *Refusal);
    return;
  }
  FakeSearcher &Searcher = this->searcherOf(Attempt);
  if (Searcher.Running.size() < this->Settings.Slots)
    this->execute(Id);
  else
    Searcher.Queue.push_back(Id);
}

std::optional<AttemptStatus>
FakeSearchers::refusalStatus(const FakeAttempt &Attempt) {
  const FakeSearcher &Searcher = this->searcherOf(Attempt);
  const auto Held = this->Ranges.find(Attempt.Spec.Snapshot);
  if (!Searcher.IsAlive)
    return AttemptStatus::NotSent;
  if (Held == this->Ranges.end() ||
      Searcher.DroppedSnapshots.contains(Attempt.Spec.Snapshot))
    return AttemptStatus::SnapshotGone;
  if (!Held->second.contains(Attempt.Spec.Shard))
    return AttemptStatus::ShardGone;
  if (this->Events.now() >= Attempt.Spec.Deadline) {
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
  FakeAttempt &Attempt = this->Attempts.at(Id);
  FakeSearcher &Searcher = this->searcherOf(Attempt);
  ++this->Counts.Executed;
  Attempt.StartedAt = this->Events.now();
  Searcher.Running.insert(Id);
  if (this->Settings.KeepsRecords)
    this->Executions.push_back({Id, Attempt.Spec.Request, Attempt.Spec.Searcher,
                                Attempt.Spec.Snapshot, Attempt.Spec.Shard,
                                this->Events.now()});
  const bool IsFailing = this->happensOneIn(Searcher.FailsOneIn);
  const auto ServiceTime =
      IsFailing ? this->Settings.MeanServiceTime / 10 : this->drawServiceTime();
  this->Counts.Failed += IsFailing ? 1 : 0;
  this->Events.after(ServiceTime, [this, Id, IsFailing] {
    const auto Found = this->Attempts.find(Id);
    const bool IsRunning = Found != this->Attempts.end() &&
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
  const bool IsLost = this->happensOneIn(this->Settings.LostReplyOneIn);
  this->endAfterDelay(Id,
                      IsLost ? AttemptStatus::Lost : AttemptStatus::Answered);
}

void FakeSearchers::onCancelArrived(const common::AttemptId &Id) {
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return;
  const FakeAttempt &Attempt = Found->second;
  FakeSearcher &Searcher = this->searcherOf(Attempt);
  const auto Queued =
      std::find(Searcher.Queue.begin(), Searcher.Queue.end(), Id);
  if (Queued != Searcher.Queue.end()) {
    ++this->Counts.CancelledBeforeStart;
    Searcher.Queue.erase(Queued);
    this->Attempts.erase(Found);
    return;
  }
  if (!Searcher.Running.contains(Id))
    return;
  ++this->Counts.CancelledRunning;
  this->Counts.CancelledWork += this->Events.now() - *Attempt.StartedAt;
  this->releaseSlot(Id);
  this->Attempts.erase(Id);
}

void FakeSearchers::releaseSlot(const common::AttemptId &Id) {
  const FakeAttempt &Attempt = this->Attempts.at(Id);
  FakeSearcher &Searcher = this->searcherOf(Attempt);
  this->Counts.Busy += this->Events.now() - *Attempt.StartedAt;
  Searcher.Running.erase(Id);
  while (!Searcher.Queue.empty() &&
         Searcher.Running.size() < this->Settings.Slots) {
    const common::AttemptId Next = Searcher.Queue.front();
    Searcher.Queue.pop_front();
    if (this->Events.now() < this->Attempts.at(Next).Spec.Deadline) {
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
  const auto Found = this->Attempts.find(Id);
  if (Found == this->Attempts.end())
    return;
  const FakeAttempt Attempt = std::move(Found->second);
  this->Attempts.erase(Found);
  if (Attempt.IsCancelled && !Attempt.IsDeliveredAfterCancel)
    return;
  query::AttemptResult Result;
  Result.Attempt = Id;
  Result.Status = Status;
  Result.Elapsed = this->Events.now() - Attempt.SentAt;
  if (Status == AttemptStatus::Answered)
    Result.Reply = this->makeReply(Attempt);
  this->OnResult(Result);
}

query::ShardReply FakeSearchers::makeReply(const FakeAttempt &Attempt) {
  if (this->LastReply.Attempt != Attempt.Spec.Id &&
      this->happensOneIn(this->Settings.SwappedReplyOneIn))
    return this->LastReply;
  query::ShardReply Reply;
  Reply.Attempt = Attempt.Spec.Id;
  Reply.Snapshot = Attempt.Spec.Snapshot;
  Reply.Shard = Attempt.Spec.Shard;
  // The map may have been replaced while the work was running.
  Reply.Range = this->Ranges[Reply.Snapshot][Reply.Shard];
  Reply.Body = expectedBody(Attempt.Spec);
  if (this->happensOneIn(this->Settings.WrongReplyOneIn)) {
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
    this->Deliveries.push_back({Attempt.Spec.Id, Attempt.Spec.Request,
                                Attempt.Spec.Snapshot, Attempt.Spec.Shard,
                                Reply.Range, Reply.Body});
  return Reply;
}

} // namespace acaciacross::testsupport
