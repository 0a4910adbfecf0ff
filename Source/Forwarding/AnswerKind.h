#ifndef ACACIACROSS_FORWARDING_ANSWERKIND_H
#define ACACIACROSS_FORWARDING_ANSWERKIND_H

#include <cstdint>

namespace acaciacross::forwarding {

/// Where the answer to a caller comes from.
enum class AnswerKind : std::uint8_t {
  /// An upstream's response, passed on unchanged.
  Upstream,
  /// The merged records of the shards that answered.
  Gathered,
  /// The request has not run and will not run.
  Refused,
  /// No usable response; the request may have run.
  Failed,
};

} // namespace acaciacross::forwarding

#endif
