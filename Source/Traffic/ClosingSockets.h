#ifndef ACACIACROSS_TRAFFIC_CLOSINGSOCKETS_H
#define ACACIACROSS_TRAFFIC_CLOSINGSOCKETS_H

#include "Common/Clock.h"
#include "Traffic/ClosingSocket.h"

#include <curl/curl.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace acaciacross::traffic {

/// Connections that are being closed and may still count towards the searcher's
/// connection limit.
class ClosingSockets {
public:
  /// Time must outlive this object.
  explicit ClosingSockets(const common::Clock &TimeSource);
  ~ClosingSockets();

  ClosingSockets(const ClosingSockets &) = delete;
  ClosingSockets &operator=(const ClosingSockets &) = delete;

  /// Takes ownership of the socket and shuts it down for sending.
  void add(int Socket, const common::Address &Endpoint);

  /// Closes sockets whose searcher has closed its side and those that have
  /// waited too long for that. Returns their endpoints.
  std::vector<common::Address> closeFinished();

  std::size_t countFor(const common::Address &Endpoint) const;

  /// Descriptors to be polled for input.
  std::vector<curl_waitfd> pollDescriptors() const;
  std::optional<common::MonotonicTime> nextCloseTime() const;

private:
  const common::Clock &TimeSource;
  std::vector<ClosingSocket> Sockets;
};

} // namespace acaciacross::traffic

#endif
