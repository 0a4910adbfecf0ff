#ifndef ACACIACROSS_FORWARDING_ABANDONMODE_H
#define ACACIACROSS_FORWARDING_ABANDONMODE_H

#include <cstdint>

namespace acaciacross::forwarding {

/// How an attempt is abandoned whose result is no longer needed.
enum class AbandonMode : std::uint8_t {
  /// The searcher may finish the request, so that its connection can be reused.
  LetFinish,
  /// The connection is closed to make the searcher stop.
  Cancel,
};

} // namespace acaciacross::forwarding

#endif
