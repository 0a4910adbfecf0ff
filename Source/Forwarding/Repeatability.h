#ifndef ACACIACROSS_FORWARDING_REPEATABILITY_H
#define ACACIACROSS_FORWARDING_REPEATABILITY_H

#include <cstdint>

namespace acaciacross::forwarding {

/// How often upstreams may run one request of a caller.
enum class Repeatability : std::uint8_t {
  Repeatable,
  AtMostOnce,
};

} // namespace acaciacross::forwarding

#endif
