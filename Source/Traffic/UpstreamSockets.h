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

/// Tracks the sockets to searchers and closes idle ones above the quota.
/// libcurl checks its limit only when it opens connections, so that idle
/// connections above a lowered limit would stay open.
class UpstreamSockets {
public:
  /// Both must outlive this object.
  UpstreamSockets(ClosingSockets &Closing, SocketCloseSink &Sink);

  /// Tracks the sockets of the transfer. This object must outlive the
  /// connections of the transfer.
  void attach(CURL *Easy);

  /// Closes idle connections of endpoints that have more than Quota
  /// connections. False if running transfers keep an endpoint above it.
  /// BusyPorts: local ports of the connections of running transfers.
  bool closeIdleAbove(std::uint32_t Quota,
                      const std::set<std::uint16_t> &BusyPorts);

  std::size_t openConnectionCount(const common::Address &Endpoint) const;
  /// Highest number of sockets that were open to one endpoint at the same time.
  std::size_t peakConnectionCount() const;

private:
  static curl_socket_t open(void *Self, curlsocktype Purpose,
                            curl_sockaddr *Target);
  static int close(void *Self, curl_socket_t Socket);

  ClosingSockets &Closing;
  SocketCloseSink &Sink;
  std::map<curl_socket_t, UpstreamSocket> Sockets;
  std::map<common::Address, std::size_t> OpenCounts;
  std::size_t Peak = 0;
};

} // namespace acaciacross::traffic

#endif
