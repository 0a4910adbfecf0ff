#include "StandIns/Searcher/SearchRun.h"

#include "StandIns/Searcher/SearcherCodec.h"

namespace acaciacross::standins {

namespace {

/// How often a hanging search looks whether the fault was switched off.
constexpr std::chrono::milliseconds HangCheckInterval{50};

HttpResponse status(unsigned Code) { return {.Status = Code, .Body = "{}"}; }

} // namespace

SearchRun::SearchRun(SearcherState &Searcher, SearchCall Call,
                     const PeerWait &Peer, const std::string &Body)
    : Searcher(Searcher), Call(std::move(Call)), Peer(Peer), Body(Body) {}

HttpResponse SearchRun::run() {
  this->Searcher.count(&SearcherCounters::Attempts);
  if (auto Refused = this->refusal())
    return *Refused;
  const auto Acquired =
      this->Searcher.slots().acquire(this->Peer, this->monotonicDeadline());
  switch (Acquired) {
  case SlotPool::Result::QueueFull:
    this->Searcher.count(&SearcherCounters::Shed);
    return status(503);
  case SlotPool::Result::DeadlinePassed:
    this->Searcher.count(&SearcherCounters::DeadlinePassed);
    return status(504);
  case SlotPool::Result::PeerClosed:
    this->Searcher.count(&SearcherCounters::Cancelled);
    return {.End = HttpResponse::Ending::CloseWithoutReply};
  case SlotPool::Result::Granted:
    break;
  }
  this->Searcher.refreshPages();
  HttpResponse Response = this->runWithSlot();
  this->Searcher.slots().release();
  this->Searcher.refreshPages();
  return Response;
}

std::optional<HttpResponse> SearchRun::refusal() const {
  const Faults Active = this->Searcher.faults();
  if (Active.Shed || Active.DrainShed) {
    this->Searcher.count(&SearcherCounters::Shed);
    return status(503);
  }
  switch (this->Searcher.holds(this->Call.Snapshot, this->Call.Shard)) {
  case SearcherState::Holding::NoSnapshot:
    return status(410);
  case SearcherState::Holding::NoShard:
    return status(409);
  case SearcherState::Holding::Held:
    return std::nullopt;
  }
  return std::nullopt;
}

HttpResponse SearchRun::runWithSlot() {
  const common::WallTime Now = std::chrono::system_clock::now();
  if (Now >= this->Call.Deadline) {
    this->Searcher.count(&SearcherCounters::DeadlinePassed);
    return status(504);
  }
  this->Searcher.count(&SearcherCounters::Executions);
  const std::uint64_t Number = this->Searcher.record().started(
      {this->Searcher.settings().Id, this->Call.RequestId, this->Call.AttemptId,
       this->Call.ClassName, this->Call.Snapshot, this->Call.Shard, Now,
       common::WallTime(), false});
  const bool Done = this->work();
  this->Searcher.record().finished(Number, std::chrono::system_clock::now(),
                                   !Done);
  if (!Done) {
    this->Searcher.count(&SearcherCounters::Cancelled);
    return {.End = HttpResponse::Ending::CloseWithoutReply};
  }
  return this->reply();
}

bool SearchRun::work() {
  const auto End =
      std::chrono::steady_clock::now() + this->Searcher.nextServiceTime();
  if (this->Peer.until(End) == PeerWait::Result::PeerClosed)
    return false;
  while (this->Searcher.faults().Hang)
    if (this->Peer.until(std::chrono::steady_clock::now() +
                         HangCheckInterval) == PeerWait::Result::PeerClosed)
      return false;
  return true;
}

HttpResponse SearchRun::reply() const {
  const Faults Active = this->Searcher.faults();
  if (Active.Reset)
    return {.End = HttpResponse::Ending::ResetWithoutReply};
  SearchReply Reply{
      this->Call.AttemptId, this->Call.Snapshot, this->Call.Shard,
      this->Searcher.rangeOf(this->Call.Snapshot, this->Call.Shard),
      this->Body};
  if (Active.WrongAttempt)
    Reply.AttemptId = "0000000000000000-0";
  if (Active.WrongSnapshot)
    Reply.Snapshot += "-other";
  if (Active.WrongRange)
    ++Reply.Range.End;
  return {.Body = SearcherCodec::encode(Reply)};
}

common::MonotonicTime SearchRun::monotonicDeadline() const {
  // Bounded, so that a deadline far away does not overflow.
  constexpr std::chrono::hours Longest{1};
  const auto Left = std::min<std::chrono::system_clock::duration>(
      this->Call.Deadline - std::chrono::system_clock::now(), Longest);
  return std::chrono::steady_clock::now() + Left;
}

} // namespace acaciacross::standins
