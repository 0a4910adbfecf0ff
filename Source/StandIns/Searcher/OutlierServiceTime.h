#ifndef ACACIACROSS_STANDINS_SEARCHER_OUTLIERSERVICETIME_H
#define ACACIACROSS_STANDINS_SEARCHER_OUTLIERSERVICETIME_H

#include "StandIns/Searcher/ServiceTime.h"

#include <memory>
#include <random>

namespace acaciacross::standins {

/// Multiplies about 1 in OneIn service times of another distribution by Factor.
class OutlierServiceTime final : public ServiceTime {
public:
  OutlierServiceTime(std::unique_ptr<ServiceTime> Inner, std::uint32_t OneIn,
                     double Factor, std::uint64_t Seed);

  std::chrono::microseconds next() override;

private:
  std::unique_ptr<ServiceTime> Inner;
  double Factor;
  std::mt19937_64 Engine;
  std::bernoulli_distribution IsOutlier;
};

} // namespace acaciacross::standins

#endif
