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

/// A connection from a caller. Requests are answered one at a time. While a
/// request is in progress, the connection is watched for a close by the caller.
class ServerConnection final
    : public net::IoHandler,
      public std::enable_shared_from_this<ServerConnection> {
public:
  ServerConnection(net::EventLoop &Loop, net::Descriptor Socket,
                   RequestHandler &Handler);

  void open();
  /// Sends the response to the current request.
  void respond(http::Response Response);
  void close();

  bool isClosed() const;
  bool isAnswering() const;
  /// When the current request had been received completely.
  common::MonotonicTime requestCompletedAt() const;

private:
  void onReady(std::uint32_t Events) override;
  void onReadable();
  void parseBuffered();
  void dispatchRequest();
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
  bool IsAnsweringRequest = false;
  bool IsHeadRequest = false;
  bool KeepsAlive = false;
  bool ClosesAfterOutput = false;
  bool HasSentContinue = false;
  std::uint32_t Interest = 0;
  common::MonotonicTime RequestCompletedAt;
  /// Start of the current wait: for a request, or for the rest of its head.
  common::MonotonicTime WaitingSince;
  std::optional<net::TimerId> Timer;
};

} // namespace acaciacross::gateway

#endif
