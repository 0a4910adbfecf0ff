#include "Benchmarks/Percentile.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace acaciacross::benchmarks {

double percentileMs(std::vector<std::chrono::nanoseconds> Latencies,
                    double Percent) {
  if (Latencies.empty())
    return 0.0;
  std::sort(Latencies.begin(), Latencies.end());
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Percent / 100.0 * static_cast<double>(Latencies.size())));
  const std::size_t Position = std::max<std::size_t>(Rank, 1) - 1;
  return std::chrono::duration<double, std::milli>(Latencies[Position]).count();
}

} // namespace acaciacross::benchmarks
