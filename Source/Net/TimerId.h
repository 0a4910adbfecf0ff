#ifndef ACACIACROSS_NET_TIMERID_H
#define ACACIACROSS_NET_TIMERID_H

#include "Common/Time.h"

#include <compare>
#include <cstdint>
#include <tuple>

namespace acaciacross::net {

/// Identifies a scheduled call of an event loop. Ids are ordered by due time.
struct TimerId {
  common::MonotonicTime DueAt;
  std::uint64_t Sequence = 0;

  bool operator==(const TimerId &) const = default;
  // Not defaulted, because clang-tidy 14 reports a fault in the code that the
  // compiler generates.
  auto operator<=>(const TimerId &Other) const {
    return std::tie(this->DueAt, this->Sequence) <=>
           std::tie(Other.DueAt, Other.Sequence);
  }
};

} // namespace acaciacross::net

#endif
