#include "Gateway/UpstreamSender.h"

#include "Gateway/ConnectionShare.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace acaciacross::gateway {

namespace {

using forwarding::AttemptEnd;

// How long a searcher may take to finish an abandoned attempt. A connection
// that is silent for longer is closed.
constexpr std::chrono::milliseconds LingerLimit{1'000};
bool isAtMostOnce(const UpstreamAttempt &Attempt) {
  return Attempt.Request->Target->Repeat ==
         forwarding::Repeatability::AtMostOnce;
}

bool hasListedReplica(const forwarding::ServiceRegistry &Registry,
                      const common::ServiceName &Service) {
  return std::ranges::any_of(
      Registry.replicas(Service),
      [](const auto &Replica) { return Replica->isListed(); });
}

} // namespace

UpstreamSender::UpstreamSender(net::EventLoop &Loop,
                               forwarding::ServiceRegistry &Registry,
                               const SearcherProtocol &Protocol,
                               logging::EventLog &Log,
                               UpstreamSenderSettings Settings)
    : Loop(Loop), Registry(Registry), Protocol(Protocol), Log(Log),
      Recorder(std::move(Settings.FailureDomain)), Notices(Log),
      ResponseBuffers(Settings.MaxResponseBytes) {}

UpstreamSender::~UpstreamSender() {
  for (auto &[Number, Attempt] : this->Attempts)
    Attempt.Connection->close();
  for (auto &[Id, Pool] : this->Pools)
    Pool.closeIdle();
}

bool UpstreamSender::hasFreeConnection(
    const forwarding::ReplicaRecord &Replica) const {
  const auto Found = this->Pools.find(Replica.entry().Id);
  return Found == this->Pools.end() ||
         Found->second.hasFreeConnection(
             this->Loop.now(),
             ConnectionShare::forSearcher(this->Registry, Replica.entry()));
}

forwarding::AttemptNumber UpstreamSender::start(
    const std::shared_ptr<const forwarding::ForwardRequest> &Request,
    const std::shared_ptr<forwarding::ReplicaRecord> &Replica,
    const std::shared_ptr<forwarding::RouteStatistics> &Statistics,
    common::MonotonicTime Deadline, forwarding::AttemptListener &Listener) {
  UpstreamAttempt Attempt;
  Attempt.Number = forwarding::AttemptNumber(this->NextNumber++);
  Attempt.Request = Request;
  Attempt.Replica = Replica;
  Attempt.Statistics = Statistics;
  Attempt.StartedAt = this->Loop.now();
  Attempt.Deadline = Deadline;
  Attempt.Listener = &Listener;
  ConnectionPool &Pool = this->poolOf(Replica->entry());
  Attempt.Connection = Pool.takeIdle(Attempt.StartedAt, isAtMostOnce(Attempt));
  const bool IsNew = Attempt.Connection == nullptr;
  if (IsNew) {
    Attempt.Connection = std::make_shared<UpstreamConnection>(
        this->Loop, static_cast<UpstreamListener &>(*this));
    Pool.addBusy(Attempt.Connection);
    ++this->OpenedCount;
  }
  Replica->onSent(Attempt.StartedAt);
  this->AttemptByConnection.emplace(Attempt.Connection.get(), Attempt.Number);
  const forwarding::AttemptNumber Number = Attempt.Number;
  const auto It = this->Attempts.emplace(Number, std::move(Attempt)).first;
  if (IsNew)
    It->second.Connection->open(Replica->entry().Endpoint);
  else
    this->send(It->second);
  return Number;
}

void UpstreamSender::abandon(forwarding::AttemptNumber Number,
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
  const UpstreamAttempt Ended = this->removeAttempt(Found);
  AttemptRecorder::recordOverdue(Ended, this->Loop.now());
  this->closeConnection(Ended);
  this->notifyConnectionAvailable(Ended.Replica->entry().Service);
}

void UpstreamSender::awaitConnection(const common::ServiceName &Service,
                                     forwarding::AttemptListener &Listener,
                                     const forwarding::Urgency &Place) {
  this->Waiters.add(Service, Listener, Place, this->Loop.now());
}

std::size_t
UpstreamSender::waitingCount(const common::ServiceName &Service) const {
  return this->Waiters.count(Service);
}

std::size_t UpstreamSender::waitingCountUpTo(const common::ServiceName &Service,
                                             int Priority) const {
  return this->Waiters.countUpTo(Service, Priority);
}

void UpstreamSender::cancelAwait(forwarding::AttemptListener &Listener) {
  this->Waiters.remove(Listener, this->Loop.now());
}

void UpstreamSender::withdrawUnlisted() {
  std::vector<forwarding::AttemptNumber> Unsent;
  for (const auto &[Number, Attempt] : this->Attempts)
    if (!Attempt.Connection->isConnected() && !Attempt.Replica->isListed())
      Unsent.push_back(Number);
  // The listener of one attempt may end or start others.
  for (const forwarding::AttemptNumber Number : Unsent)
    if (const auto Found = this->Attempts.find(Number);
        Found != this->Attempts.end())
      this->withdraw(Found);
  for (const common::ServiceName &Service : this->Waiters.services())
    if (!hasListedReplica(this->Registry, Service))
      this->notifyConnectionAvailable(Service);
}

void UpstreamSender::closeUnlisted() {
  std::set<common::SearcherId> Used;
  for (const auto &[Number, Attempt] : this->Attempts)
    Used.insert(Attempt.Replica->entry().Id);
  std::set<common::SearcherId> Listed;
  if (this->Registry.table() != nullptr)
    for (const auto &[Id, Record] : this->Registry.allSearchers())
      if (Record->isListed())
        Listed.insert(Id);
  for (auto It = this->Pools.begin(); It != this->Pools.end();) {
    if (Listed.contains(It->first)) {
      ++It;
      continue;
    }
    It->second.closeIdle();
    It = Used.contains(It->first) ? std::next(It) : this->Pools.erase(It);
  }
}

void UpstreamSender::closeIdle() {
  for (auto &[Id, Pool] : this->Pools)
    Pool.closeIdle();
}

std::uint64_t UpstreamSender::openedConnectionCount() const {
  return this->OpenedCount;
}

const ResponseBufferBudget &UpstreamSender::responseBuffers() const {
  return this->ResponseBuffers;
}

const DomainTraffic &UpstreamSender::domainTraffic() const {
  return this->Recorder.domainTraffic();
}

const ConnectionWaiters &UpstreamSender::waiters() const {
  return this->Waiters;
}

std::size_t UpstreamSender::connections() const {
  std::size_t Total = 0;
  for (const auto &[Id, Pool] : this->Pools)
    Total += Pool.size();
  return Total;
}

void UpstreamSender::onConnected(UpstreamConnection &Connection) {
  const auto Found = this->AttemptByConnection.find(&Connection);
  if (Found == this->AttemptByConnection.end())
    return;
  const auto It = this->Attempts.find(Found->second);
  const forwarding::ReplicaRecord &Replica = *It->second.Replica;
  const common::MonotonicTime Now = this->Loop.now();
  if (!Replica.isListed() || Replica.isPaused(Now) ||
      Replica.coldStart().isOverdrawn(Now))
    this->withdraw(It);
  else
    this->send(It->second);
}

bool UpstreamSender::onResponse(UpstreamConnection &Connection,
                                http::Response Response, bool MayReuse) {
  const auto Found = this->AttemptByConnection.find(&Connection);
  if (Found == this->AttemptByConnection.end()) {
    Connection.close();
    return true;
  }
  const auto It = this->Attempts.find(Found->second);
  ResponseMetadata Metadata = this->Protocol.decode(Response);
  this->recordNotice(It->second, Metadata.Notice);
  // A late second response to an earlier request; the response to the current
  // request is still to come.
  if (Metadata.RequestId && *Metadata.RequestId != It->second.Request->Id.Value)
    return false;
  const UpstreamAttempt Attempt = this->removeAttempt(It);
  this->Recorder.recordResponse(Attempt, Metadata, Response, this->Loop.now());
  const common::SearcherId &Searcher = Attempt.Replica->entry().Id;
  const auto Pool = this->Pools.find(Searcher);
  if (MayReuse && !Metadata.IsFromOtherSearcher &&
      Attempt.Replica->isListed() && this->keepsConnections() &&
      Pool != this->Pools.end())
    Pool->second.release(Attempt.Connection, this->Loop.now(),
                         Metadata.IdleTimeout);
  else
    this->closeConnection(Attempt);
  const common::ServiceName Service = Attempt.Replica->entry().Service;
  if (Attempt.Listener != nullptr) {
    forwarding::AttemptResult Result;
    Result.End = Metadata.IsNotRun           ? AttemptEnd::NotRun
                 : Metadata.HasContentCoding ? AttemptEnd::Lost
                                             : AttemptEnd::Answered;
    Result.Response = std::move(Response);
    Result.Stamp = std::move(Metadata.Stamp);
    Attempt.Listener->onAttemptEnded(Attempt.Number, std::move(Result));
  }
  this->notifyConnectionAvailable(Service);
  return true;
}

void UpstreamSender::onBuffered(UpstreamConnection &Connection,
                                std::size_t Bytes) {
  const auto Found = this->AttemptByConnection.find(&Connection);
  if (Found == this->AttemptByConnection.end())
    return;
  const auto Largest = this->ResponseBuffers.update(Found->second, Bytes);
  if (!Largest)
    return;
  const UpstreamAttempt &Ended = this->Attempts.at(*Largest);
  this->Log.write(
      logging::LogRecord(common::LogEvent::ResponseBuffersFull)
          .text("searcher", Ended.Replica->entry().Id.Value)
          .text("service", Ended.Replica->entry().Service.Value)
          .text("request", Ended.Request->Id.Value)
          .number("held_bytes", static_cast<std::int64_t>(
                                    this->ResponseBuffers.heldBytes())));
  const std::shared_ptr<UpstreamConnection> Aborted = Ended.Connection;
  Aborted->abort();
}

void UpstreamSender::onUpstreamClosed(UpstreamConnection &Connection,
                                      bool WasSent) {
  for (auto &[Id, Pool] : this->Pools)
    Pool.remove(Connection);
  const auto Found = this->AttemptByConnection.find(&Connection);
  if (Found == this->AttemptByConnection.end())
    return;
  const UpstreamAttempt Attempt =
      this->removeAttempt(this->Attempts.find(Found->second));
  const common::MonotonicTime Now = this->Loop.now();
  if (WasSent)
    Attempt.Replica->onFailed(Now);
  else
    Attempt.Replica->onUnreachable(Now);
  if (Connection.wasUnreachable())
    this->Registry.recordFailedConnect(*Attempt.Replica, Now);
  const auto Pool = this->Pools.find(Attempt.Replica->entry().Id);
  if (WasSent && !Connection.hasAnswered() && Pool != this->Pools.end())
    Pool->second.noteRejected(Now);
  if (Attempt.Listener != nullptr) {
    forwarding::AttemptResult Result;
    Result.End = WasSent ? AttemptEnd::Lost : AttemptEnd::NotSent;
    Attempt.Listener->onAttemptEnded(Attempt.Number, std::move(Result));
  }
  this->notifyConnectionAvailable(Attempt.Replica->entry().Service);
}

// While the connection was set up, the searcher has announced that it leaves,
// asked for a pause or become cold, its entry was removed, or its failure
// domain evacuated.
void UpstreamSender::withdraw(AttemptMap::iterator It) {
  const UpstreamAttempt Attempt = this->removeAttempt(It);
  Attempt.Replica->coldStart().onWithdrawn(Attempt.StartedAt);
  this->closeConnection(Attempt);
  if (Attempt.Listener != nullptr) {
    forwarding::AttemptResult Result;
    Result.End = AttemptEnd::NotSent;
    Attempt.Listener->onAttemptEnded(Attempt.Number, std::move(Result));
  }
  this->notifyConnectionAvailable(Attempt.Replica->entry().Service);
}

// A searcher that restarts under the same id may have another address.
ConnectionPool &
UpstreamSender::poolOf(const forwarding::SearcherEntry &Searcher) {
  const auto Found = this->Pools.find(Searcher.Id);
  if (Found != this->Pools.end() &&
      Found->second.address() == Searcher.Endpoint)
    return Found->second;
  if (Found != this->Pools.end()) {
    Found->second.closeIdle();
    this->Pools.erase(Found);
  }
  return this->Pools.emplace(Searcher.Id, ConnectionPool(Searcher.Endpoint))
      .first->second;
}

void UpstreamSender::send(const UpstreamAttempt &Attempt) {
  const auto TimeLeft =
      std::max(std::chrono::milliseconds(1),
               std::chrono::duration_cast<std::chrono::milliseconds>(
                   Attempt.Deadline - this->Loop.now()));
  const std::string Bytes = this->Protocol.encode(
      *Attempt.Request, Attempt.Replica->entry(), TimeLeft);
  this->Recorder.recordSent(Attempt, Bytes.size());
  Attempt.Connection->send(Bytes, Attempt.Request->Message.Method != "HEAD");
}

// A standby VM receives only single requests. Connections that it kept would
// count against the limit of the searcher, which the placed VMs need.
bool UpstreamSender::keepsConnections() const {
  const forwarding::FleetShare &Fleet = this->Registry.fleet();
  return Fleet.IsPlaced || Fleet.StandbyCount == 0;
}

UpstreamAttempt UpstreamSender::removeAttempt(AttemptMap::iterator It) {
  UpstreamAttempt Attempt = std::move(It->second);
  this->Attempts.erase(It);
  this->ResponseBuffers.release(Attempt.Number);
  this->AttemptByConnection.erase(Attempt.Connection.get());
  if (Attempt.LingerTimer)
    this->Loop.cancel(*Attempt.LingerTimer);
  Attempt.Replica->onAttemptEnded(Attempt.StartedAt);
  return Attempt;
}

void UpstreamSender::recordNotice(const UpstreamAttempt &Attempt,
                                  const forwarding::SearcherNotice &Notice) {
  if (!this->Registry.recordNotice(*Attempt.Replica, Notice, this->Loop.now()))
    return;
  this->Notices.write(Attempt, Notice);
  const auto Pool = this->Pools.find(Attempt.Replica->entry().Id);
  if (Notice.IsLeaving && Pool != this->Pools.end())
    Pool->second.closeIdle();
}

void UpstreamSender::closeConnection(const UpstreamAttempt &Attempt) {
  const auto Pool = this->Pools.find(Attempt.Replica->entry().Id);
  if (Pool != this->Pools.end())
    Pool->second.remove(*Attempt.Connection);
  Attempt.Connection->close();
}

void UpstreamSender::onLingerEnd(forwarding::AttemptNumber Number) {
  const auto Found = this->Attempts.find(Number);
  if (Found == this->Attempts.end())
    return;
  Found->second.LingerTimer.reset();
  const UpstreamAttempt Attempt = this->removeAttempt(Found);
  Attempt.Replica->onUnreachable(this->Loop.now());
  this->closeConnection(Attempt);
  this->notifyConnectionAvailable(Attempt.Replica->entry().Service);
}

// The listener is called from the event loop, because it may start attempts
// while the caller of this function is still handling another one.
void UpstreamSender::notifyConnectionAvailable(
    const common::ServiceName &Service) {
  if (this->Waiters.count(Service) == 0)
    return;
  this->Loop.schedule(this->Loop.now(),
                      [this, Service] { this->notifyWaiting(Service); });
}

// A listener that neither takes the connection nor waits on has given up,
// because no searcher of the service may be asked any more. Nothing would
// notify those behind it.
void UpstreamSender::notifyWaiting(const common::ServiceName &Service) {
  while (forwarding::AttemptListener *Next =
             this->Waiters.takeNext(Service, this->Loop.now())) {
    const std::size_t LeftCount = this->Waiters.count(Service);
    const std::uint64_t NumberBefore = this->NextNumber;
    Next->onConnectionAvailable(Service);
    if (this->NextNumber != NumberBefore ||
        this->Waiters.count(Service) > LeftCount)
      return;
  }
}

} // namespace acaciacross::gateway
