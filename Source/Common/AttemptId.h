#ifndef ACACIACROSS_COMMON_ATTEMPTID_H
#define ACACIACROSS_COMMON_ATTEMPTID_H

#include "Common/Identifiers.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace acaciacross::common {

/// Identifies one attempt, which is one request to one upstream. Ids are not
/// reused.
struct AttemptId {
  Incarnation Issuer;
  std::uint64_t Sequence = 0;

  auto operator<=>(const AttemptId &) const = default;

  /// Returns "<issuer in hexadecimal>-<sequence>".
  std::string toString() const;

  /// Parses the form that toString returns; empty for any other text.
  static std::optional<AttemptId> parse(std::string_view Text);
};

} // namespace acaciacross::common

template <> struct std::hash<acaciacross::common::AttemptId> {
  std::size_t operator()(const acaciacross::common::AttemptId &Id) const {
    return std::hash<std::uint64_t>()(Id.Issuer.Value ^ Id.Sequence);
  }
};

#endif
