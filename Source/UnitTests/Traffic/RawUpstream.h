#ifndef ACACIACROSS_UNITTESTS_TRAFFIC_RAWUPSTREAM_H
#define ACACIACROSS_UNITTESTS_TRAFFIC_RAWUPSTREAM_H

#include "Common/Address.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace acaciacross::traffic {

/// TCP server on the loopback address that reads complete requests and sends
/// the text that Respond returns for each; an empty text closes the
/// connection instead, and one that ends with CloseMark does so after the text.
class RawUpstream {
public:
  /// Called with the number of the request, from 0, and its bytes.
  using Responder =
      std::function<std::string(std::size_t, const std::string &)>;

  static constexpr std::string_view CloseMark = "<close>";

  explicit RawUpstream(Responder Respond);
  ~RawUpstream();

  common::Address endpoint() const;
  std::vector<std::string> requests() const;

  /// Number of connections that the other side closed.
  std::size_t closedByPeerCount() const;

  /// Number of connections that are open now, and the highest number that were
  /// open at the same time.
  std::size_t openConnectionCount() const;
  std::size_t peakOpenConnectionCount() const;

private:
  void accept();
  void serve(int Connection);

  Responder Respond;
  int Listener;
  int Stop[2];
  mutable std::mutex Mutex;
  std::vector<std::string> Received;
  std::atomic<std::size_t> Closed{0};
  std::atomic<std::size_t> Open{0};
  std::atomic<std::size_t> Peak{0};
  std::vector<std::jthread> Connections;
  std::jthread Acceptor;
};

} // namespace acaciacross::traffic

#endif
