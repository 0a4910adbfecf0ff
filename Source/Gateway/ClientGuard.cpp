#include "Gateway/ClientGuard.h"

#include "Gateway/ServerConnection.h"

#include <malloc.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace acaciacross::gateway {

namespace {

// Bounds the lines of a crowd to a few each second.
constexpr std::chrono::milliseconds ReportPeriod{1'000};

std::size_t indexOf(ClientEnd Cause) { return static_cast<std::size_t>(Cause); }

} // namespace

ClientGuard::ClientGuard(net::EventLoop &Loop, logging::EventLog &Log,
                         std::size_t MaxBytes)
    : Loop(Loop), Log(Log), MaxBytes(MaxBytes), Payers(MaxBytes),
      Return(MaxBytes) {}

ClientGuard::~ClientGuard() {
  for (const auto &Timer : {this->ReclaimTimer, this->ReportTimer})
    if (Timer)
      this->Loop.cancel(*Timer);
}

void ClientGuard::add(ServerConnection &Connection) {
  this->Connections.insert(&Connection);
}

void ClientGuard::remove(ServerConnection &Connection) {
  this->Connections.erase(&Connection);
}

// The connections are ended from the event loop, because this function is
// called from within them.
void ClientGuard::update(std::size_t Before, std::size_t After) {
  this->Held += After - Before;
  this->Return.update(this->Held);
  if (this->Held > this->MaxBytes && !this->ReclaimTimer)
    this->ReclaimTimer = this->Loop.schedule(this->Loop.now(), [this] {
      this->ReclaimTimer.reset();
      this->reclaim();
    });
  if (this->Return.isDue())
    this->armReport();
}

bool ClientGuard::admits(std::size_t RequestBytes) const {
  return this->Payers.admits(RequestBytes, this->Held,
                             this->Connections.size());
}

void ClientGuard::noteEnd(ClientEnd Cause) {
  ++this->Ends[indexOf(Cause)];
  this->armReport();
}

void ClientGuard::noteAcceptPaused(std::size_t OpenConnections) {
  ++this->Pauses;
  this->ConnectionsAtPause = OpenConnections;
  this->armReport();
}

void ClientGuard::noteAcceptResumed(std::chrono::nanoseconds Paused) {
  ++this->Resumes;
  this->LongestPause = std::max(this->LongestPause, Paused);
  this->armReport();
}

std::size_t ClientGuard::heldBytes() const { return this->Held; }

void ClientGuard::write(std::ostream &Page) const {
  Page << "# TYPE acaciacross_client_memory_bytes gauge\n"
       << "acaciacross_client_memory_bytes " << this->Held
       << "\n# TYPE acaciacross_client_memory_limit_bytes gauge\n"
       << "acaciacross_client_memory_limit_bytes " << this->MaxBytes
       << "\n# TYPE acaciacross_client_connections gauge\n"
       << "acaciacross_client_connections " << this->Connections.size()
       << "\n# TYPE acaciacross_accept_pauses_total counter\n"
       << "acaciacross_accept_pauses_total " << this->Pauses
       << "\n# TYPE acaciacross_clients_ended_total counter\n";
  for (std::size_t I = 0; I < ClientEndCount; ++I)
    Page << "acaciacross_clients_ended_total{cause=\""
         << clientEndName(static_cast<ClientEnd>(I)) << "\"} " << this->Ends[I]
         << '\n';
}

void ClientGuard::reclaim() {
  std::vector<std::shared_ptr<ServerConnection>> Holders;
  std::vector<MemoryClaim> Claims;
  for (ServerConnection *Connection : this->Connections) {
    const MemoryClaim Claim = Connection->memoryClaim();
    if (Claim.Bytes == 0)
      continue;
    Holders.push_back(Connection->shared_from_this());
    Claims.push_back(Claim);
  }
  for (const std::size_t I : this->Payers.select(Claims, this->Loop.now()))
    Holders[I]->shed();
}

void ClientGuard::armReport() {
  if (!this->ReportTimer)
    this->ReportTimer =
        this->Loop.schedule(this->Loop.now() + ReportPeriod, [this] {
          this->ReportTimer.reset();
          this->report();
        });
}

void ClientGuard::report() {
  using common::LogEvent;
  using logging::LogRecord;
  const auto Number = [](auto Value) {
    return static_cast<std::int64_t>(Value);
  };
  if (const auto Count = this->endsSinceReport(ClientEnd::Memory))
    this->Log.write(LogRecord(LogEvent::ClientMemoryShort)
                        .number("ended", Number(Count))
                        .number("held_bytes", Number(this->Held))
                        .number("limit_bytes", Number(this->MaxBytes)));
  if (this->Pauses != this->ReportedPauses)
    this->Log.write(
        LogRecord(LogEvent::AcceptPaused)
            .number("pauses", Number(this->Pauses - this->ReportedPauses))
            .number("connections", Number(this->ConnectionsAtPause))
            .number("idle_closed",
                    Number(this->endsSinceReport(ClientEnd::Idle))));
  if (this->Resumes != this->ReportedResumes)
    this->Log.write(LogRecord(LogEvent::AcceptResumed)
                        .number("connections", Number(this->Connections.size()))
                        .milliseconds("paused_ms", this->LongestPause));
  const auto Heads = this->endsSinceReport(ClientEnd::SlowHead);
  const auto Bodies = this->endsSinceReport(ClientEnd::SlowBody);
  const auto Answers = this->endsSinceReport(ClientEnd::SlowAnswer);
  if (Heads + Bodies + Answers > 0)
    this->Log.write(LogRecord(LogEvent::ClientsTooSlow)
                        .number("heads", Number(Heads))
                        .number("bodies", Number(Bodies))
                        .number("answers", Number(Answers)));
  if (const auto Count = this->endsSinceReport(ClientEnd::Oversized))
    this->Log.write(LogRecord(LogEvent::RequestsOversized)
                        .number("requests", Number(Count)));
  this->ReportedEnds = this->Ends;
  this->ReportedPauses = this->Pauses;
  this->ReportedResumes = this->Resumes;
  this->LongestPause = std::chrono::nanoseconds(0);
  if (this->Return.isDue())
    this->returnMemory();
}

// The allocator keeps freed blocks that lie below others, so that the process
// would stay as large as the crowd had made it, and the next crowd or the
// searchers' answers would come on top.
void ClientGuard::returnMemory() {
  ::malloc_trim(0);
  this->Return.noteReturned();
  this->Log.write(
      logging::LogRecord(common::LogEvent::MemoryReturned)
          .number("held_bytes", static_cast<std::int64_t>(this->Held)));
}

std::uint64_t ClientGuard::endsSinceReport(ClientEnd Cause) const {
  return this->Ends[indexOf(Cause)] - this->ReportedEnds[indexOf(Cause)];
}

} // namespace acaciacross::gateway
