#ifndef ACACIACROSS_FORWARDING_CALLERLIMITS_H
#define ACACIACROSS_FORWARDING_CALLERLIMITS_H

#include <chrono>
#include <cstddef>

namespace acaciacross::forwarding {

/// Limits on the size of requests and on the time that a caller connection may
/// take to send a head or stay idle.
struct CallerLimits {
  std::size_t MaxHeadBytes = std::size_t{16} << 10;
  std::size_t MaxBodyBytes = std::size_t{256} << 10;
  std::chrono::milliseconds HeadTimeout{3'000};
  std::chrono::milliseconds IdleTimeout{15'000};
};

} // namespace acaciacross::forwarding

#endif
