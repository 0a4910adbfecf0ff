#ifndef ACACIACROSS_GATEWAY_UPSTREAMCONNECTION_H
#define ACACIACROSS_GATEWAY_UPSTREAMCONNECTION_H

#include "Common/Address.h"
#include "Gateway/UpstreamListener.h"
#include "Http/ResponseParser.h"
#include "Net/Descriptor.h"
#include "Net/EventLoop.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace acaciacross::gateway {

/// A connection to a searcher that carries one request at a time.
class UpstreamConnection final
    : public net::IoHandler,
      public std::enable_shared_from_this<UpstreamConnection> {
public:
  UpstreamConnection(net::EventLoop &Loop, UpstreamListener &Listener);

  /// Begins to connect. The listener is notified of success or failure later,
  /// even if connecting fails at once.
  void open(const common::Address &Remote);
  /// Sends a request. HasBody: whether its response may have a body.
  void send(std::string_view Bytes, bool HasBody);
  /// Does not notify the listener.
  void close();
  /// Closes the connection like one that has failed and notifies the listener.
  void abort();

  bool isConnected() const;
  bool isClosed() const;
  /// Whether a complete response has been read on this connection.
  bool hasAnswered() const;
  /// Whether the connection could not be set up, other than by a reset. A
  /// searcher resets connections beyond its limit.
  bool wasUnreachable() const;

private:
  void onReady(std::uint32_t Events) override;
  void finishConnect();
  void onConnectTimeout();
  void onReadable();
  void parse(std::string_view Bytes);
  void write(std::string_view Bytes);
  void watch(std::uint32_t Wanted);

  net::EventLoop &Loop;
  UpstreamListener &Listener;
  net::Descriptor Socket;
  http::ResponseParser Parser;
  std::string Output;
  bool Connected = false;
  /// Whether a request was sent whose response is not complete.
  bool Busy = false;
  bool Answered = false;
  bool Unreachable = false;
  /// Messages since the last request that did not answer it.
  unsigned IgnoredCount = 0;
  /// Whether sending has failed, so that the end of the connection does not
  /// complete a response.
  bool HasFailed = false;
  std::uint32_t Interest = 0;
  std::optional<net::TimerId> ConnectTimer;
};

} // namespace acaciacross::gateway

#endif
