#ifndef ACACIACROSS_GATEWAY_LISTENER_H
#define ACACIACROSS_GATEWAY_LISTENER_H

#include "Common/Address.h"
#include "Gateway/ClientGuard.h"
#include "Gateway/ConnectionAllowance.h"
#include "Gateway/RequestHandler.h"
#include "Gateway/ServerConnection.h"
#include "Net/Descriptor.h"
#include "Net/EventLoop.h"

#include <memory>
#include <optional>
#include <unordered_map>

namespace acaciacross::gateway {

/// Accepts connections at one address and owns them.
class Listener final : public net::IoHandler {
public:
  /// Throws common::Error (SocketFailed).
  Listener(net::EventLoop &Loop, const common::Address &Local,
           RequestHandler &Handler, ClientGuard &Guard,
           const ConnectionAllowance &Allowance);
  ~Listener() override;
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  /// Accepts the connections that are already established, closes the listening
  /// socket, so that new connections are refused, and closes each connection
  /// once it is idle.
  void finish();
  /// Number of open connections.
  std::size_t size();

private:
  void onReady(std::uint32_t Events) override;
  /// Returns false when no connection is waiting.
  bool acceptNext();
  std::size_t maxConnections();
  bool hasRoom();
  /// Closes connections on which nothing moves.
  void makeRoom();
  /// Accepts nothing until there is room again.
  void pause();
  void armResume();
  void resume();
  void closeSocket();
  void removeClosed();

  net::EventLoop &Loop;
  RequestHandler &Handler;
  ClientGuard &Guard;
  const ConnectionAllowance &Allowance;
  net::Descriptor Socket;
  std::unordered_map<ServerConnection *, std::shared_ptr<ServerConnection>>
      Connections;
  std::size_t CleanupThreshold;
  std::size_t MaxConnections = 0;
  /// When MaxConnections was computed.
  std::optional<common::MonotonicTime> MaxComputedAt;
  common::MonotonicTime PausedAt;
  std::optional<net::TimerId> ResumeTimer;
};

} // namespace acaciacross::gateway

#endif
