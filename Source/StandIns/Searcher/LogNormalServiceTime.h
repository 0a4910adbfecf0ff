#ifndef ACACIACROSS_STANDINS_SEARCHER_LOGNORMALSERVICETIME_H
#define ACACIACROSS_STANDINS_SEARCHER_LOGNORMALSERVICETIME_H

#include "StandIns/Searcher/ServiceTime.h"

#include <random>

namespace acaciacross::standins {

/// Log-normally distributed service times.
class LogNormalServiceTime final : public ServiceTime {
public:
  LogNormalServiceTime(std::chrono::microseconds Median, double Sigma,
                       std::uint64_t Seed);

  std::chrono::microseconds next() override;

private:
  std::mt19937_64 Engine;
  std::lognormal_distribution<double> Microseconds;
};

} // namespace acaciacross::standins

#endif
