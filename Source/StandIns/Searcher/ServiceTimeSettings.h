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
  std::chrono::microseconds Median{5000};
  double Sigma = 0.3;
  std::uint64_t Seed = 1;
  /// 0: no outliers.
  std::uint32_t SlowOneIn = 0;
  double SlowFactor = 1.0;

  /// Throws common::Error when Kind is unknown.
  std::unique_ptr<ServiceTime> make() const;
};

} // namespace acaciacross::standins

#endif
