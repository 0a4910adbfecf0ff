#include "StandIns/Searcher/LogNormalServiceTime.h"

#include <cmath>

namespace acaciacross::standins {

LogNormalServiceTime::LogNormalServiceTime(std::chrono::microseconds Median,
                                           double Sigma, std::uint64_t Seed)
    : Engine(Seed),
      Microseconds(std::log(static_cast<double>(Median.count())), Sigma) {}

std::chrono::microseconds LogNormalServiceTime::next() {
  return std::chrono::microseconds(
      static_cast<std::int64_t>(this->Microseconds(this->Engine)));
}

} // namespace acaciacross::standins
