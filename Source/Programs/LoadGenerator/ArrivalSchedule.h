#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_ARRIVALSCHEDULE_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_ARRIVALSCHEDULE_H

#include "Programs/LoadGenerator/Arrival.h"
#include "Programs/LoadGenerator/LoadSettings.h"

#include <optional>
#include <random>

namespace acaciacross::loadgenerator {

/// Generates Poisson arrivals, independent of the answers (open loop). The same
/// seed gives the same arrivals.
class ArrivalSchedule {
public:
  explicit ArrivalSchedule(const LoadSettings &Settings);

  /// The next arrival; empty when the duration or the number of requests is
  /// used up.
  std::optional<Arrival> next();

private:
  std::mt19937_64 Engine;
  std::exponential_distribution<double> GapSeconds;
  std::discrete_distribution<std::size_t> ClassIndex;
  std::chrono::microseconds Duration;
  std::uint64_t RequestsLeft;
  std::chrono::duration<double> Elapsed{0};
};

} // namespace acaciacross::loadgenerator

#endif
