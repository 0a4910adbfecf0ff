#ifndef ACACIACROSS_FORWARDING_SUBREQUESTSTATE_H
#define ACACIACROSS_FORWARDING_SUBREQUESTSTATE_H

#include <cstdint>

namespace acaciacross::forwarding {

/// State of the sub-request to one service.
enum class SubRequestState : std::uint8_t {
  Open,
  /// A usable response was received.
  Answered,
  /// No usable response was received and no further attempt is possible.
  Exhausted,
};

} // namespace acaciacross::forwarding

#endif
