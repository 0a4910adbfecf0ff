#include "StandIns/Searcher/SearchRun.h"

#include "StandIns/Searcher/SearcherCodec.h"

namespace acaciacross::standins {

namespace {

/// Interval at which a hanging search checks whether the fault is still set.
constexpr std::chrono::milliseconds HangCheckInterval{50};

HttpResponse status(unsigned Code) { return {.Status = Code, .Body = "{}"}; }

} // namespace

SearchRun::SearchRun(SearcherState &Searcher, SearchRequest Request,
                     const ConnectionWait &Wait, const std::string &Body)
    : Searcher(Searcher), Request(std::move(Request)), Wait(Wait), Body(Body) {}

HttpResponse SearchRun::run() {
  this->Searcher.count(&SearcherCounters::Attempts);
  if (auto Refusal = this->refusalReply())
    return *Refusal;
  const auto AcquireResult =
      this->Searcher.slots().acquire(this->Wait, this->monotonicDeadline());
  switch (AcquireResult) {
  case SlotPool::Result::QueueFull:
    this->Searcher.count(&SearcherCounters::Shed);
    return status(503);
  case SlotPool::Result::DeadlinePassed:
    this->Searcher.count(&SearcherCounters::DeadlinePassed);
    return status(504);
  case SlotPool::Result::ConnectionClosed:
    this->Searcher.count(&SearcherCounters::Cancelled);
    return {.Delivery = HttpResponse::DeliveryMode::CloseWithoutReply};
  case SlotPool::Result::Granted:
    break;
  }
  this->Searcher.refreshPages();
  HttpResponse Response = this->runWithSlot();
  this->Searcher.slots().release();
  this->Searcher.refreshPages();
  return Response;
}

std::optional<HttpResponse> SearchRun::refusalReply() const {
  const Faults Active = this->Searcher.faults();
  if (Active.ShedsSearches || Active.IsDrainingAndShedding) {
    this->Searcher.count(&SearcherCounters::Shed);
    return status(503);
  }
  switch (this->Searcher.availability(this->Request.Snapshot,
                                      this->Request.Shard)) {
  case SearcherState::Availability::NoSnapshot:
    return status(410);
  case SearcherState::Availability::NoShard:
    return status(409);
  case SearcherState::Availability::Loaded:
    return std::nullopt;
  }
  return std::nullopt;
}

HttpResponse SearchRun::runWithSlot() {
  const common::WallTime Now = std::chrono::system_clock::now();
  if (Now >= this->Request.Deadline) {
    this->Searcher.count(&SearcherCounters::DeadlinePassed);
    return status(504);
  }
  this->Searcher.count(&SearcherCounters::Executions);
  const std::uint64_t Number = this->Searcher.executionLog().recordStart(
      {this->Searcher.settings().Id, this->Request.RequestId,
       this->Request.AttemptId, this->Request.ClassName, this->Request.Snapshot,
       this->Request.Shard, Now, common::WallTime(), false});
  const bool IsCompleted = this->simulateWork();
  this->Searcher.executionLog().recordEnd(
      Number, std::chrono::system_clock::now(), !IsCompleted);
  if (!IsCompleted) {
    this->Searcher.count(&SearcherCounters::Cancelled);
    return {.Delivery = HttpResponse::DeliveryMode::CloseWithoutReply};
  }
  return this->reply();
}

bool SearchRun::simulateWork() {
  const auto End =
      std::chrono::steady_clock::now() + this->Searcher.nextServiceTime();
  if (this->Wait.until(End) == ConnectionWait::Result::ConnectionClosed)
    return false;
  while (this->Searcher.faults().HangsSearches)
    if (this->Wait.until(std::chrono::steady_clock::now() +
                         HangCheckInterval) ==
        ConnectionWait::Result::ConnectionClosed)
      return false;
  return true;
}

HttpResponse SearchRun::reply() const {
  const Faults Active = this->Searcher.faults();
  if (Active.ResetsConnections)
    return {.Delivery = HttpResponse::DeliveryMode::ResetWithoutReply};
  SearchReply Reply{
      this->Request.AttemptId, this->Request.Snapshot, this->Request.Shard,
      this->Searcher.keyRangeOf(this->Request.Snapshot, this->Request.Shard),
      this->Body};
  if (Active.RepliesWrongAttempt)
    Reply.AttemptId = "0000000000000000-0";
  if (Active.RepliesWrongSnapshot)
    Reply.Snapshot += "-other";
  if (Active.RepliesWrongRange)
    ++Reply.Range.End;
  return {.Body = SearcherCodec::encode(Reply)};
}

common::MonotonicTime SearchRun::monotonicDeadline() const {
  // The limit prevents an overflow when the deadline is in the far future.
  constexpr std::chrono::hours MaxRemaining{1};
  const auto Remaining = std::min<std::chrono::system_clock::duration>(
      this->Request.Deadline - std::chrono::system_clock::now(), MaxRemaining);
  return std::chrono::steady_clock::now() + Remaining;
}

} // namespace acaciacross::standins
