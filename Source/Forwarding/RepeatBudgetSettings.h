#ifndef ACACIACROSS_FORWARDING_REPEATBUDGETSETTINGS_H
#define ACACIACROSS_FORWARDING_REPEATBUDGETSETTINGS_H

#include <chrono>

namespace acaciacross::forwarding {

/// Bounds on what the whole fleet may send to a service beyond the first
/// arrival of each request.
struct RepeatBudgetSettings {
  /// Extra arrivals allowed for each request.
  double Ratio = 0.2;
  /// Extra arrivals allowed besides, in one window, for all VMs together.
  double FixedPerWindow = 0.0;
  std::chrono::milliseconds Window{10'000};
};

} // namespace acaciacross::forwarding

#endif
