#ifndef ACACIACROSS_NET_TIMERID_H
#define ACACIACROSS_NET_TIMERID_H

#include "Common/Time.h"

#include <compare>
#include <cstdint>
#include <tuple>

namespace acaciacross::net {

/// A scheduled call of an event loop; ids order by due time.
struct TimerId {
  common::MonotonicTime At;
  std::uint64_t Sequence = 0;

  bool operator==(const TimerId &) const = default;
  // Not defaulted: clang-tidy 14 reports the compiler's own code for that.
  auto operator<=>(const TimerId &Other) const {
    return std::tie(this->At, this->Sequence) <=>
           std::tie(Other.At, Other.Sequence);
  }
};

} // namespace acaciacross::net

#endif
