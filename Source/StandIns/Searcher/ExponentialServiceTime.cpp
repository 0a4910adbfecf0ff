#include "StandIns/Searcher/ExponentialServiceTime.h"

namespace acaciacross::standins {

ExponentialServiceTime::ExponentialServiceTime(std::chrono::microseconds Mean,
                                               std::uint64_t Seed)
    : Engine(Seed), Microseconds(1.0 / static_cast<double>(Mean.count())) {}

std::chrono::microseconds ExponentialServiceTime::next() {
  return std::chrono::microseconds(
      static_cast<std::int64_t>(this->Microseconds(this->Engine)));
}

} // namespace acaciacross::standins
