#ifndef ACACIACROSS_GATEWAY_CLIENTGUARD_H
#define ACACIACROSS_GATEWAY_CLIENTGUARD_H

#include "Gateway/ClientEnd.h"
#include "Gateway/MemoryReturn.h"
#include "Gateway/PayerSelector.h"
#include "Logging/EventLog.h"
#include "Net/EventLoop.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <unordered_set>

namespace acaciacross::gateway {

class ServerConnection;

/// Keeps all connections of callers together within their share of the memory,
/// and tells operators of clients that do not behave.
class ClientGuard {
public:
  ClientGuard(net::EventLoop &Loop, logging::EventLog &Log,
              std::size_t MaxBytes);
  ~ClientGuard();
  ClientGuard(const ClientGuard &) = delete;
  ClientGuard &operator=(const ClientGuard &) = delete;

  void add(ServerConnection &Connection);
  void remove(ServerConnection &Connection);
  /// A connection holds After bytes instead of Before.
  void update(std::size_t Before, std::size_t After);
  /// Whether a complete request, whose memory is included in the last update,
  /// may begin.
  bool admits(std::size_t RequestBytes) const;
  void noteEnd(ClientEnd Cause);
  /// A listener stopped accepting, because it has all the connections that it
  /// may have or because no descriptor is free.
  void noteAcceptPaused(std::size_t Connections);
  void noteAcceptResumed(std::chrono::nanoseconds Paused);

  std::size_t heldBytes() const;
  /// Writes the values in the Prometheus text format.
  void write(std::ostream &Page) const;

private:
  using Counts = std::array<std::uint64_t, ClientEndCount>;

  /// Ends connections until the others hold no more than they may.
  void reclaim();
  void armReport();
  /// Writes one line for each kind of event since the last report.
  void report();
  void returnMemory();
  std::uint64_t endsSinceReport(ClientEnd Cause) const;

  net::EventLoop &Loop;
  logging::EventLog &Log;
  std::size_t MaxBytes;
  PayerSelector Payers;
  MemoryReturn Return;
  std::unordered_set<ServerConnection *> Connections;
  std::size_t Held = 0;
  Counts Ends{};
  Counts ReportedEnds{};
  std::uint64_t Pauses = 0;
  std::uint64_t ReportedPauses = 0;
  std::uint64_t Resumes = 0;
  std::uint64_t ReportedResumes = 0;
  std::size_t ConnectionsAtPause = 0;
  std::chrono::nanoseconds LongestPause{0};
  std::optional<net::TimerId> ReclaimTimer;
  std::optional<net::TimerId> ReportTimer;
};

} // namespace acaciacross::gateway

#endif
