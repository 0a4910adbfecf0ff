#ifndef ACACIACROSS_FORWARDING_ABANDONMODE_H
#define ACACIACROSS_FORWARDING_ABANDONMODE_H

#include <cstdint>

namespace acaciacross::forwarding {

/// What becomes of an attempt whose result is no longer wanted.
enum class AbandonMode : std::uint8_t {
  /// The searcher may finish; its connection can then be used again.
  LetFinish,
  /// The connection is closed, so that the searcher stops its work.
  Cancel,
};

} // namespace acaciacross::forwarding

#endif
