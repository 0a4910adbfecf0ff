#ifndef ACACIACROSS_NET_IOHANDLER_H
#define ACACIACROSS_NET_IOHANDLER_H

#include <cstdint>

namespace acaciacross::net {

/// Receives the readiness events of one descriptor on the loop's thread.
class IoHandler {
public:
  virtual ~IoHandler() = default;

  /// Events: EPOLLIN, EPOLLOUT, EPOLLRDHUP, EPOLLHUP, EPOLLERR.
  virtual void onReady(std::uint32_t Events) = 0;
};

} // namespace acaciacross::net

#endif
