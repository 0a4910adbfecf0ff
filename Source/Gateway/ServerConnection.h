#ifndef ACACIACROSS_GATEWAY_SERVERCONNECTION_H
#define ACACIACROSS_GATEWAY_SERVERCONNECTION_H

#include "Gateway/RequestHandler.h"
#include "Http/RequestParser.h"
#include "Http/Response.h"
#include "Net/Descriptor.h"
#include "Net/EventLoop.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace acaciacross::gateway {

/// A connection of a caller. Requests are answered one after the other; while
/// one is, the connection is watched for its end.
class ServerConnection final
    : public net::IoHandler,
      public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(net::EventLoop &Events, net::Descriptor Accepted,
                   RequestHandler &Receiver);

  void open();
  /// Answers the present request.
  void respond(http::Response Response);
  void close();

  bool isClosed() const;
  bool isAnswering() const;
  /// When the present request was complete.
  common::MonotonicTime requestAt() const;

private:
  void onReady(std::uint32_t Events) override;
  void onReadable();
  void parseBuffered();
  void takeRequest();
  void write(std::string_view Bytes);
  void flush();
  void watch();
  void armTimer();
  std::chrono::milliseconds waitLimit() const;
  void onTimer();

  net::EventLoop &Loop;
  net::Descriptor Socket;
  RequestHandler &Handler;
  http::RequestParser Parser;
  std::string Input;
  std::string Output;
  bool Answering = false;
  bool IsHead = false;
  bool KeepsAlive = false;
  bool ClosesAfterOutput = false;
  bool SentContinue = false;
  std::uint32_t Interest = 0;
  common::MonotonicTime CompleteAt;
  /// Since when the connection has been idle, or the present head incomplete.
  common::MonotonicTime WaitsSince;
  std::optional<net::TimerId> Timer;
};

} // namespace acaciacross::gateway

#endif
