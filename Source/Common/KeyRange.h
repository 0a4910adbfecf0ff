#ifndef ACACIACROSS_COMMON_KEYRANGE_H
#define ACACIACROSS_COMMON_KEYRANGE_H

#include <compare>
#include <cstdint>

namespace acaciacross::common {

/// Half-open range [Begin, End) of the hashed key space of a service.
struct KeyRange {
  std::uint64_t Begin = 0;
  std::uint64_t End = 0;

  auto operator<=>(const KeyRange &) const = default;
};

} // namespace acaciacross::common

#endif
