#ifndef ACACIACROSS_TRAFFIC_UPSTREAMSOCKETS_H
#define ACACIACROSS_TRAFFIC_UPSTREAMSOCKETS_H

#include "Common/Address.h"
#include "Traffic/ClosingSockets.h"
#include "Traffic/SocketCloseSink.h"
#include "Traffic/UpstreamSocket.h"

#include <curl/curl.h>

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace acaciacross::traffic {

/// The sockets to searchers. libcurl limits only the opening of connections:
/// idle ones above a limit that has fallen would stay open.
class UpstreamSockets {
public:
  /// Both must outlive the table.
  UpstreamSockets(ClosingSockets &Ending, SocketCloseSink &Told);

  /// Has sockets of the transfer counted here; the table must outlive its
  /// connections.
  void attach(CURL *Easy);

  /// Closes idle connections of endpoints that have more than Quota. False when
  /// running transfers keep one above it. BusyPorts: local ports of the
  /// connections of running transfers.
  bool closeIdleAbove(std::uint32_t Quota,
                      const std::set<std::uint16_t> &BusyPorts);

  std::size_t openAt(const common::Address &Endpoint) const;
  /// Highest number of sockets that were open to one endpoint together.
  std::size_t peak() const;

private:
  static curl_socket_t open(void *Self, curlsocktype Purpose,
                            curl_sockaddr *Target);
  static int close(void *Self, curl_socket_t Socket);

  ClosingSockets &Closing;
  SocketCloseSink &Sink;
  std::map<curl_socket_t, UpstreamSocket> Sockets;
  std::map<common::Address, std::size_t> OpenAt;
  std::size_t Peak = 0;
};

} // namespace acaciacross::traffic

#endif
