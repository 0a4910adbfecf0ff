#include "StandIns/Searcher/OutlierServiceTime.h"

namespace acaciacross::standins {

OutlierServiceTime::OutlierServiceTime(std::unique_ptr<ServiceTime> Inner,
                                       std::uint32_t OneIn, double Factor,
                                       std::uint64_t Seed)
    : Inner(std::move(Inner)), Factor(Factor), Engine(Seed),
      IsOutlier(1.0 / OneIn) {}

std::chrono::microseconds OutlierServiceTime::next() {
  const std::chrono::microseconds Time = this->Inner->next();
  if (!this->IsOutlier(this->Engine))
    return Time;
  return std::chrono::duration_cast<std::chrono::microseconds>(Time *
                                                               this->Factor);
}

} // namespace acaciacross::standins
