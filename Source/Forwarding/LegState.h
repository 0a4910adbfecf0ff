#ifndef ACACIACROSS_FORWARDING_LEGSTATE_H
#define ACACIACROSS_FORWARDING_LEGSTATE_H

#include <cstdint>

namespace acaciacross::forwarding {

/// Where the attempts for one service stand.
enum class LegState : std::uint8_t {
  Open,
  /// A usable answer is in.
  Answered,
  /// No attempt is left that could bring one.
  Exhausted,
};

} // namespace acaciacross::forwarding

#endif
