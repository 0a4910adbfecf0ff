#ifndef ACACIACROSS_FORWARDING_RETRYBUDGETSETTINGS_H
#define ACACIACROSS_FORWARDING_RETRYBUDGETSETTINGS_H

#include <chrono>

namespace acaciacross::forwarding {

/// Fleet-wide bounds on extra arrivals at a service: those beyond the first
/// arrival of each request.
struct RetryBudgetSettings {
  /// Extra arrivals allowed per request.
  double Ratio = 0.2;
  /// Additional extra arrivals allowed in one window, for all VMs together.
  double FixedPerWindow = 0.0;
  std::chrono::milliseconds Window{10'000};
};

} // namespace acaciacross::forwarding

#endif
