#ifndef ACACIACROSS_NET_IOHANDLER_H
#define ACACIACROSS_NET_IOHANDLER_H

#include <cstdint>

namespace acaciacross::net {

/// Receives the readiness events of a descriptor on the thread of the event
/// loop.
class IoHandler {
public:
  virtual ~IoHandler() = default;

  /// Events: combination of EPOLLIN, EPOLLOUT, EPOLLRDHUP, EPOLLHUP, EPOLLERR.
  virtual void onReady(std::uint32_t Events) = 0;
};

} // namespace acaciacross::net

#endif
