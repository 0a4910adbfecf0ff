#include "Forwarding/GatherSettings.h"

#include <algorithm>
#include <cmath>

namespace acaciacross::forwarding {

std::size_t GatherSettings::minShards() const {
  // A share such as 0.9 has no exact binary representation. The tolerance makes
  // 9 of 10 shards enough for 0.9.
  constexpr double RoundingTolerance = 1e-9;
  const double MinShardCount =
      std::ceil(this->MinCoverage * static_cast<double>(this->Shards.size()) -
                RoundingTolerance);
  return std::max<std::size_t>(1, static_cast<std::size_t>(MinShardCount));
}

} // namespace acaciacross::forwarding
