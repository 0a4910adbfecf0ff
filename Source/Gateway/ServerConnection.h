#ifndef ACACIACROSS_GATEWAY_SERVERCONNECTION_H
#define ACACIACROSS_GATEWAY_SERVERCONNECTION_H

#include "Common/Identifiers.h"
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
  /// The VM stops: closes the connection at once if it is idle, otherwise once
  /// the current request is answered and the answer sent.
  void finish();
  void close();

  bool isClosed() const;
  const common::CallerHost &caller() const;
  /// When the current request had been received completely.
  common::MonotonicTime requestCompletedAt() const;

private:
  void onReady(std::uint32_t Events) override;
  void onReadable();
  void parseBuffered();
  void dispatchRequest();
  void write(std::string_view Bytes);
  void flush();
  /// Closes a connection whose last response has been sent.
  void endOutput();
  void watch();
  void armTimer();
  std::chrono::milliseconds waitLimit() const;
  void onTimer();

  net::EventLoop &Loop;
  net::Descriptor Socket;
  common::CallerHost Caller;
  RequestHandler &Handler;
  http::RequestParser Parser;
  std::string Input;
  std::string Output;
  bool IsAnsweringRequest = false;
  bool IsHeadRequest = false;
  bool KeepsAlive = false;
  bool ClosesAfterOutput = false;
  /// Whether the last response has been sent and only the caller's close is
  /// awaited.
  bool IsLingering = false;
  bool HasReadRequest = false;
  /// Whether more bytes of a rejected request may arrive.
  bool HasRejectedInput = false;
  /// Whether the caller has closed its sending side.
  bool HasInputEnded = false;
  bool HasSentContinue = false;
  std::uint32_t Interest = 0;
  common::MonotonicTime RequestCompletedAt;
  /// Start of the current wait: for a request, for the rest of its head, or for
  /// the caller to read the response.
  common::MonotonicTime WaitingSince;
  std::optional<net::TimerId> Timer;
};

} // namespace acaciacross::gateway

#endif
