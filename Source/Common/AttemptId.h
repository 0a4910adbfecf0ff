#ifndef ACACIACROSS_COMMON_ATTEMPTID_H
#define ACACIACROSS_COMMON_ATTEMPTID_H

#include "Common/Identifiers.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace acaciacross::common {

/// Identifies one request to one upstream; never used twice.
struct AttemptId {
  Incarnation Issuer;
  std::uint64_t Sequence = 0;

  auto operator<=>(const AttemptId &) const = default;

  /// "<issuer in hexadecimal>-<sequence>".
  std::string toString() const;

  /// Empty when the text is not one that toString makes.
  static std::optional<AttemptId> parse(std::string_view Text);
};

} // namespace acaciacross::common

template <> struct std::hash<acaciacross::common::AttemptId> {
  std::size_t operator()(const acaciacross::common::AttemptId &Id) const {
    return std::hash<std::uint64_t>()(Id.Issuer.Value ^ Id.Sequence);
  }
};

#endif
