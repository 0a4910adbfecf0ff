#include "Programs/LoadGenerator/ClassResult.h"

#include <algorithm>
#include <cmath>

namespace acaciacross::loadgenerator {

std::chrono::microseconds ClassResult::percentile(double Percent) const {
  if (this->Latencies.empty())
    return std::chrono::microseconds(0);
  std::vector<std::chrono::microseconds> Sorted = this->Latencies;
  const double Rank =
      std::ceil(Percent / 100.0 * static_cast<double>(Sorted.size()));
  const std::size_t Index = std::min(
      static_cast<std::size_t>(std::max(Rank, 1.0)) - 1, Sorted.size() - 1);
  std::nth_element(Sorted.begin(), Sorted.begin() + static_cast<long>(Index),
                   Sorted.end());
  return Sorted[Index];
}

double ClassResult::meanCoverage() const {
  if (this->Latencies.empty())
    return 0.0;
  return this->CoverageSum / static_cast<double>(this->Latencies.size());
}

} // namespace acaciacross::loadgenerator
