#ifndef ACACIACROSS_NET_BUSYMETER_H
#define ACACIACROSS_NET_BUSYMETER_H

#include "Common/Time.h"

#include <chrono>
#include <optional>

namespace acaciacross::net {

/// Moving average of the share of time in which a thread does not wait.
class BusyMeter {
public:
  /// Waited: how long the thread has waited since its start.
  void note(common::MonotonicTime Now, std::chrono::nanoseconds Waited);
  unsigned perMille() const;

private:
  std::optional<common::MonotonicTime> At;
  std::chrono::nanoseconds WaitedBefore{0};
  double Busy = 0.0;
};

} // namespace acaciacross::net

#endif
