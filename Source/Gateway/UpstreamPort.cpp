#include "Gateway/UpstreamPort.h"

#include "Gateway/ConnectionShare.h"

#include <algorithm>
#include <set>
#include <string>

namespace acaciacross::gateway {

namespace {

using forwarding::AttemptEnd;

// How long a searcher may take to finish an attempt that nobody waits for; a
// connection that is silent for longer is better replaced.
constexpr std::chrono::milliseconds LingerLimit{1'000};
// An attempt given up after this many times the usual latency tells that its
// searcher is slow or silent.
constexpr int OverdueFactor = 4;

std::chrono::nanoseconds typicalOf(const UpstreamAttempt &Attempt) {
  return Attempt.Statistics->typical(Attempt.Request->Target->LatencyTarget);
}

bool isAtMostOnce(const UpstreamAttempt &Attempt) {
  return Attempt.Request->Target->Repeat ==
         forwarding::Repeatability::AtMostOnce;
}

} // namespace

UpstreamPort::UpstreamPort(net::EventLoop &Events,
                           forwarding::ServiceBook &Known,
                           const SearcherProtocol &Encoding)
    : Loop(Events), Book(Known), Protocol(Encoding) {}

UpstreamPort::~UpstreamPort() {
  for (auto &[Number, Attempt] : this->Attempts)
    Attempt.Connection->close();
  for (auto &[Id, Pool] : this->Pools)
    Pool.closeIdle();
}

bool UpstreamPort::hasRoom(const forwarding::ReplicaRecord &Replica) const {
  const auto Found = this->Pools.find(Replica.entry().Id);
  return Found == this->Pools.end() ||
         Found->second.hasRoom(
             this->Loop.now(),
             ConnectionShare::of(this->Book, Replica.entry()));
}

forwarding::AttemptNumber UpstreamPort::start(
    const std::shared_ptr<const forwarding::ForwardRequest> &Request,
    const std::shared_ptr<forwarding::ReplicaRecord> &Replica,
    const std::shared_ptr<forwarding::RouteStatistics> &Statistics,
    common::MonotonicTime AnswerBy, forwarding::AttemptListener &Listener) {
  UpstreamAttempt Attempt;
  Attempt.Number = forwarding::AttemptNumber(this->NextNumber++);
  Attempt.Request = Request;
  Attempt.Replica = Replica;
  Attempt.Statistics = Statistics;
  Attempt.StartedAt = this->Loop.now();
  Attempt.AnswerBy = AnswerBy;
  Attempt.Listener = &Listener;
  ConnectionPool &Pool = this->poolOf(Replica->entry());
  Attempt.Connection = Pool.takeIdle(Attempt.StartedAt, isAtMostOnce(Attempt));
  const bool IsNew = Attempt.Connection == nullptr;
  if (IsNew) {
    Attempt.Connection = std::make_shared<UpstreamConnection>(
        this->Loop, static_cast<UpstreamListener &>(*this));
    Pool.addBusy(Attempt.Connection);
    ++this->Opened;
  }
  Replica->onSent(Attempt.StartedAt);
  this->ByConnection.emplace(Attempt.Connection.get(), Attempt.Number);
  const forwarding::AttemptNumber Number = Attempt.Number;
  const auto Position =
      this->Attempts.emplace(Number, std::move(Attempt)).first;
  if (IsNew)
    Position->second.Connection->open(Replica->entry().Where);
  else
    this->send(Position->second);
  return Number;
}

void UpstreamPort::abandon(forwarding::AttemptNumber Number,
                           forwarding::AbandonMode Mode) {
  const auto Found = this->Attempts.find(Number);
  if (Found == this->Attempts.end())
    return;
  UpstreamAttempt &Attempt = Found->second;
  Attempt.Listener = nullptr;
  const bool MayFinish = Mode == forwarding::AbandonMode::LetFinish &&
                         Attempt.Connection->isConnected();
  if (MayFinish) {
    Attempt.LingerTimer =
        this->Loop.schedule(this->Loop.now() + LingerLimit,
                            [this, Number] { this->onLingerEnd(Number); });
    return;
  }
  const UpstreamAttempt Ended = this->take(Found);
  this->learnOverdue(Ended);
  this->closeConnection(Ended);
  this->offerRoom(Ended.Replica->entry().Service);
}

void UpstreamPort::awaitRoom(const common::ServiceName &Service,
                             forwarding::AttemptListener &Listener) {
  this->Waiting[Service].push_back(&Listener);
}

std::size_t UpstreamPort::waiting(const common::ServiceName &Service) const {
  const auto Found = this->Waiting.find(Service);
  return Found == this->Waiting.end() ? 0 : Found->second.size();
}

void UpstreamPort::stopAwaiting(forwarding::AttemptListener &Listener) {
  for (auto &[Service, Queue] : this->Waiting)
    std::erase(Queue, &Listener);
  std::erase_if(this->Waiting,
                [](const auto &Each) { return Each.second.empty(); });
}

void UpstreamPort::closeUnlisted() {
  std::set<common::SearcherId> Used;
  for (const auto &[Number, Attempt] : this->Attempts)
    Used.insert(Attempt.Replica->entry().Id);
  std::set<common::SearcherId> Listed;
  if (this->Book.table() != nullptr)
    for (const auto &Record : this->Book.allSearchers())
      Listed.insert(Record.first);
  for (auto Each = this->Pools.begin(); Each != this->Pools.end();) {
    if (Listed.contains(Each->first) || Used.contains(Each->first)) {
      ++Each;
      continue;
    }
    Each->second.closeIdle();
    Each = this->Pools.erase(Each);
  }
}

void UpstreamPort::closeIdle() {
  for (auto &[Id, Pool] : this->Pools)
    Pool.closeIdle();
}

std::uint64_t UpstreamPort::connectionsOpened() const { return this->Opened; }

std::size_t UpstreamPort::connections() const {
  std::size_t Total = 0;
  for (const auto &[Id, Pool] : this->Pools)
    Total += Pool.size();
  return Total;
}

void UpstreamPort::onConnected(UpstreamConnection &Connection) {
  const auto Number = this->ByConnection.find(&Connection);
  if (Number == this->ByConnection.end())
    return;
  this->send(this->Attempts.at(Number->second));
}

bool UpstreamPort::onResponse(UpstreamConnection &Connection,
                              http::Response Response, bool MayReuse) {
  const auto Number = this->ByConnection.find(&Connection);
  if (Number == this->ByConnection.end()) {
    Connection.close();
    return true;
  }
  const auto Position = this->Attempts.find(Number->second);
  SearcherReply Reply = this->Protocol.decode(Response);
  // A late second answer to an earlier request; the one to this request is
  // still to come.
  if (Reply.RequestId && *Reply.RequestId != Position->second.Request->Id.Value)
    return false;
  const UpstreamAttempt Attempt = this->take(Position);
  this->learn(Attempt, Reply, Response);
  const common::SearcherId &Searcher = Attempt.Replica->entry().Id;
  const auto Pool = this->Pools.find(Searcher);
  if (MayReuse && !Reply.IsOtherSearcher && Attempt.Replica->isListed() &&
      this->keepsConnections() && Pool != this->Pools.end())
    Pool->second.release(Attempt.Connection, this->Loop.now(),
                         Reply.IdleTimeout);
  else
    this->closeConnection(Attempt);
  const common::ServiceName Service = Attempt.Replica->entry().Service;
  if (Attempt.Listener != nullptr) {
    forwarding::AttemptResult Result;
    Result.End = Reply.IsNotRun    ? AttemptEnd::NotRun
                 : Reply.IsEncoded ? AttemptEnd::Lost
                                   : AttemptEnd::Answered;
    Result.Response = std::move(Response);
    Result.Stamp = std::move(Reply.Stamp);
    Attempt.Listener->onAttemptEnded(Attempt.Number, std::move(Result));
  }
  this->offerRoom(Service);
  return true;
}

void UpstreamPort::onUpstreamClosed(UpstreamConnection &Connection,
                                    bool WasSent) {
  for (auto &[Id, Pool] : this->Pools)
    Pool.remove(Connection);
  const auto Number = this->ByConnection.find(&Connection);
  if (Number == this->ByConnection.end())
    return;
  const UpstreamAttempt Attempt =
      this->take(this->Attempts.find(Number->second));
  const common::MonotonicTime Now = this->Loop.now();
  if (WasSent)
    Attempt.Replica->onFailed(Now);
  else
    Attempt.Replica->onUnreachable(Now);
  const auto Pool = this->Pools.find(Attempt.Replica->entry().Id);
  if (WasSent && !Connection.hasAnswered() && Pool != this->Pools.end())
    Pool->second.noteRejected(Now);
  if (Attempt.Listener != nullptr) {
    forwarding::AttemptResult Result;
    Result.End = WasSent ? AttemptEnd::Lost : AttemptEnd::NotSent;
    Attempt.Listener->onAttemptEnded(Attempt.Number, std::move(Result));
  }
  this->offerRoom(Attempt.Replica->entry().Service);
}

// A searcher that starts again under its id may have another address.
ConnectionPool &
UpstreamPort::poolOf(const forwarding::SearcherEntry &Searcher) {
  const auto Found = this->Pools.find(Searcher.Id);
  if (Found != this->Pools.end() && Found->second.address() == Searcher.Where)
    return Found->second;
  if (Found != this->Pools.end()) {
    Found->second.closeIdle();
    this->Pools.erase(Found);
  }
  return this->Pools.emplace(Searcher.Id, ConnectionPool(Searcher.Where))
      .first->second;
}

void UpstreamPort::send(const UpstreamAttempt &Attempt) {
  const auto Left =
      std::max(std::chrono::milliseconds(1),
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   Attempt.AnswerBy - this->Loop.now()));
  const std::string Bytes =
      this->Protocol.encode(*Attempt.Request, Attempt.Replica->entry(), Left);
  Attempt.Connection->send(Bytes, Attempt.Request->Message.Method != "HEAD");
}

// A VM that stands by gets single requests; connections that it kept would
// take the place of those that the placed VMs use all the time.
bool UpstreamPort::keepsConnections() const {
  const forwarding::FleetPart &Fleet = this->Book.fleet();
  return Fleet.IsPlaced || Fleet.StandbyCount == 0;
}

UpstreamAttempt UpstreamPort::take(AttemptMap::iterator Position) {
  UpstreamAttempt Attempt = std::move(Position->second);
  this->Attempts.erase(Position);
  this->ByConnection.erase(Attempt.Connection.get());
  if (Attempt.LingerTimer)
    this->Loop.cancel(*Attempt.LingerTimer);
  Attempt.Replica->onEnded(Attempt.StartedAt);
  return Attempt;
}

void UpstreamPort::learn(const UpstreamAttempt &Attempt,
                         const SearcherReply &Reply,
                         const http::Response &Response) {
  const common::MonotonicTime Now = this->Loop.now();
  forwarding::ReplicaRecord &Replica = *Attempt.Replica;
  if (Reply.Load)
    Replica.onLoad(Now, *Reply.Load);
  if (Reply.IsOtherSearcher) {
    Replica.onUnreachable(Now);
    return;
  }
  if (Reply.IsNotRun) {
    Replica.onBusy(Now);
    return;
  }
  const bool IsGood =
      !Reply.Stamp.empty() && !Reply.IsEncoded && Response.Status < 500;
  if (!IsGood) {
    Replica.onFailed(Now);
    return;
  }
  const auto Latency = Now - Attempt.StartedAt;
  Replica.onAnswered(Now, Latency, typicalOf(Attempt));
  Attempt.Statistics->add(Latency);
}

void UpstreamPort::learnOverdue(const UpstreamAttempt &Attempt) {
  const common::MonotonicTime Now = this->Loop.now();
  const auto Age = Now - Attempt.StartedAt;
  const auto Typical = typicalOf(Attempt);
  if (Age < OverdueFactor * Typical)
    return;
  Attempt.Replica->onAnswered(Now, Age, Typical);
  Attempt.Replica->onFailed(Now);
}

void UpstreamPort::closeConnection(const UpstreamAttempt &Attempt) {
  const auto Pool = this->Pools.find(Attempt.Replica->entry().Id);
  if (Pool != this->Pools.end())
    Pool->second.remove(*Attempt.Connection);
  Attempt.Connection->close();
}

void UpstreamPort::onLingerEnd(forwarding::AttemptNumber Number) {
  const auto Found = this->Attempts.find(Number);
  if (Found == this->Attempts.end())
    return;
  Found->second.LingerTimer.reset();
  const UpstreamAttempt Attempt = this->take(Found);
  Attempt.Replica->onUnreachable(this->Loop.now());
  this->closeConnection(Attempt);
  this->offerRoom(Attempt.Replica->entry().Service);
}

// From the loop, because a listener may start attempts, and the caller of this
// function is in the middle of one.
void UpstreamPort::offerRoom(const common::ServiceName &Service) {
  if (!this->Waiting.contains(Service))
    return;
  this->Loop.schedule(this->Loop.now(), [this, Service] {
    const auto Found = this->Waiting.find(Service);
    if (Found == this->Waiting.end())
      return;
    forwarding::AttemptListener *First = Found->second.front();
    Found->second.pop_front();
    if (Found->second.empty())
      this->Waiting.erase(Found);
    First->onRoom(Service);
  });
}

} // namespace acaciacross::gateway
