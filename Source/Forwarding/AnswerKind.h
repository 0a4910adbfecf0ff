#ifndef ACACIACROSS_FORWARDING_ANSWERKIND_H
#define ACACIACROSS_FORWARDING_ANSWERKIND_H

#include <cstdint>

namespace acaciacross::forwarding {

/// What a caller gets.
enum class AnswerKind : std::uint8_t {
  /// An upstream's answer, unchanged.
  Upstream,
  /// The records of the shards that are in.
  Gathered,
  /// Not run and never will be.
  Refused,
  /// No answer; the request may have run.
  Failed,
};

} // namespace acaciacross::forwarding

#endif
