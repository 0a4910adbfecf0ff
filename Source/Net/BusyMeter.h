#ifndef ACACIACROSS_NET_BUSYMETER_H
#define ACACIACROSS_NET_BUSYMETER_H

#include "Common/Time.h"

#include <chrono>
#include <optional>

namespace acaciacross::net {

/// Moving average of the share of time that a thread is busy rather than
/// waiting for events.
class BusyMeter {
public:
  /// IdleTime: total time since its start that the thread has spent waiting.
  void addSample(common::MonotonicTime Now, std::chrono::nanoseconds IdleTime);
  /// The average in thousandths, 0 to 1000.
  unsigned perMille() const;

private:
  std::optional<common::MonotonicTime> SampledAt;
  std::chrono::nanoseconds PreviousIdleTime{0};
  double Busy = 0.0;
};

} // namespace acaciacross::net

#endif
