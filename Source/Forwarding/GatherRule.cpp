#include "Forwarding/GatherRule.h"

#include <algorithm>
#include <cmath>

namespace acaciacross::forwarding {

std::size_t GatherRule::minShards() const {
  // A share like 0.9 has no exact binary form; 9 of 10 shards are enough.
  constexpr double Rounding = 1e-9;
  const double Least = std::ceil(
      this->MinCoverage * static_cast<double>(this->Shards.size()) - Rounding);
  return std::max<std::size_t>(1, static_cast<std::size_t>(Least));
}

} // namespace acaciacross::forwarding
