#ifndef ACACIACROSS_STANDINS_SEARCHER_EXPONENTIALSERVICETIME_H
#define ACACIACROSS_STANDINS_SEARCHER_EXPONENTIALSERVICETIME_H

#include "StandIns/Searcher/ServiceTime.h"

#include <random>

namespace acaciacross::standins {

/// Exponentially distributed service times.
class ExponentialServiceTime final : public ServiceTime {
public:
  ExponentialServiceTime(std::chrono::microseconds Mean, std::uint64_t Seed);

  std::chrono::microseconds next() override;

private:
  std::mt19937_64 Engine;
  std::exponential_distribution<double> Microseconds;
};

} // namespace acaciacross::standins

#endif
