#ifndef ACACIACROSS_STANDINS_SEARCHER_SERVICETIMESETTINGS_H
#define ACACIACROSS_STANDINS_SEARCHER_SERVICETIMESETTINGS_H

#include "StandIns/Searcher/ServiceTime.h"

#include <cstdint>
#include <memory>
#include <string>

namespace acaciacross::standins {

/// Distribution of the service times of a searcher.
struct ServiceTimeSettings {
  std::string Kind = "fixed";
  /// For the exponential distribution: the mean.
  std::chrono::microseconds Median{5000};
  /// For the log-normal distribution only.
  double Sigma = 0.3;
  std::uint64_t Seed = 1;
  /// About one in this many searches is slower by SlowFactor; 0: none.
  std::uint32_t SlowOneIn = 0;
  double SlowFactor = 1.0;

  /// Throws common::Error when Kind is unknown.
  std::unique_ptr<ServiceTime> make() const;
};

} // namespace acaciacross::standins

#endif
