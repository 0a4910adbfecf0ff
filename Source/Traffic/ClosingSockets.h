#ifndef ACACIACROSS_TRAFFIC_CLOSINGSOCKETS_H
#define ACACIACROSS_TRAFFIC_CLOSINGSOCKETS_H

#include "Common/Clock.h"
#include "Traffic/ClosingSocket.h"

#include <curl/curl.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace acaciacross::traffic {

/// Sockets that are closed here but may still count at the searcher.
class ClosingSockets {
public:
  /// Time must outlive the table.
  explicit ClosingSockets(const common::Clock &Time);
  ~ClosingSockets();

  ClosingSockets(const ClosingSockets &) = delete;
  ClosingSockets &operator=(const ClosingSockets &) = delete;

  /// Takes the socket over.
  void add(int Socket, const common::Address &Endpoint);

  /// Closes what no longer counts at the searcher, or has waited too long;
  /// gives the endpoints.
  std::vector<common::Address> takeReleased();

  std::size_t countAt(const common::Address &Endpoint) const;

  /// To be watched for input.
  std::vector<curl_waitfd> watched() const;
  std::optional<common::MonotonicTime> nextRelease() const;

private:
  const common::Clock &Time;
  std::vector<ClosingSocket> Sockets;
};

} // namespace acaciacross::traffic

#endif
