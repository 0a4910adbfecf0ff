#ifndef ACACIACROSS_GATEWAY_SERVERCONNECTION_H
#define ACACIACROSS_GATEWAY_SERVERCONNECTION_H

#include "Common/Identifiers.h"
#include "Gateway/ClientGuard.h"
#include "Gateway/IdleClaim.h"
#include "Gateway/MemoryClaim.h"
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
                   RequestHandler &Handler, ClientGuard &Guard);

  void open();
  /// Sends the response to the current request.
  void respond(http::Response Response);
  /// The VM stops: closes the connection at once if it is idle, otherwise once
  /// the current request is answered and the answer sent.
  void finish();
  void close();
  /// Gives back the memory of an unfinished request or an unread response. The
  /// request is refused; a connection with an unread response is closed.
  void shed();

  bool isClosed() const;
  const common::CallerHost &caller() const;
  MemoryClaim memoryClaim();
  /// Empty while a request is in progress.
  std::optional<IdleClaim> idleClaim() const;
  /// When the current request had been received completely.
  common::MonotonicTime requestCompletedAt() const;

private:
  void onReady(std::uint32_t Events) override;
  void onReadable();
  /// The caller has closed its sending side while its input is not read.
  void onHalfClose();
  bool mayParse() const;
  void parseBuffered();
  /// Parses the next request, if any, in the next round.
  void scheduleParse();
  /// Prepares for the response to a request that is not read to its end.
  void beginRejection();
  void dispatchRequest();
  void write(std::string_view Bytes);
  void flush();
  /// Returns how many bytes were sent. Closes the connection if it has failed.
  std::size_t send(std::string_view Bytes);
  void finishWrite();
  /// Closes a connection whose last response has been sent.
  void endOutput();
  void watch();
  /// Reports the memory that this connection holds.
  void account();
  void armTimer();
  common::MonotonicTime waitEnd() const;
  std::chrono::milliseconds waitLimit() const;
  void noteTooSlow();
  void onTimer();

  net::EventLoop &Loop;
  net::Descriptor Socket;
  common::CallerHost Caller;
  RequestHandler &Handler;
  ClientGuard &Guard;
  http::RequestParser Parser;
  std::string Input;
  std::string Output;
  /// How much of Output has been sent.
  std::size_t SentBytes = 0;
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
  bool HasScheduledParse = false;
  std::uint32_t Interest = 0;
  common::MonotonicTime RequestCompletedAt;
  /// Start of the current wait: for a request, for the rest of its head, or for
  /// the caller to read the response.
  common::MonotonicTime WaitingSince;
  /// When the caller last sent or read anything.
  common::MonotonicTime ProgressAt;
  common::MonotonicTime AnswerStartedAt;
  /// Size of the part of the response that could not be sent at once.
  std::size_t AnswerBytes = 0;
  /// Memory of the request in progress.
  std::size_t RequestBytes = 0;
  /// Memory as last reported.
  std::size_t AccountedBytes = 0;
  std::optional<net::TimerId> Timer;
};

} // namespace acaciacross::gateway

#endif
