#ifndef ACACIACROSS_UNITTESTS_TRAFFIC_RAWUPSTREAM_H
#define ACACIACROSS_UNITTESTS_TRAFFIC_RAWUPSTREAM_H

#include "Common/Address.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace acaciacross::traffic {

/// TCP server on the loopback address that reads whole POST requests and sends
/// what Answer gives for them; an empty text closes the connection instead.
class RawUpstream {
public:
  /// Takes the number of the request, from 0, and its bytes.
  using Answer = std::function<std::string(std::size_t, const std::string &)>;

  explicit RawUpstream(Answer Chosen);
  ~RawUpstream();

  common::Address endpoint() const;
  std::vector<std::string> requests() const;

  /// Connections that the other side closed.
  std::size_t closedByPeer() const;

  /// Connections that are open now, and the most that were open together.
  std::size_t open() const;
  std::size_t peakOpen() const;

private:
  void accept();
  void serve(int Connection);

  Answer Reply;
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
