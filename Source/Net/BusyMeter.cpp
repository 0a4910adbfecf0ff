#include "Net/BusyMeter.h"

#include <algorithm>
#include <cmath>

namespace acaciacross::net {

namespace {

// Short enough to show a burst while it lasts, and longer than one query.
constexpr std::chrono::duration<double> AveragingTime{1.0};

} // namespace

void BusyMeter::addSample(common::MonotonicTime Now,
                          std::chrono::nanoseconds IdleTime) {
  if (!this->SampledAt) {
    this->SampledAt = Now;
    this->PreviousIdleTime = IdleTime;
    return;
  }
  const std::chrono::duration<double> Elapsed = Now - *this->SampledAt;
  if (Elapsed.count() <= 0.0)
    return;
  const std::chrono::duration<double> IdleSinceSample =
      IdleTime - this->PreviousIdleTime;
  const double Sample = std::clamp(1.0 - IdleSinceSample / Elapsed, 0.0, 1.0);
  const double PreviousWeight = std::exp(-(Elapsed / AveragingTime));
  this->Busy = PreviousWeight * this->Busy + (1.0 - PreviousWeight) * Sample;
  this->SampledAt = Now;
  this->PreviousIdleTime = IdleTime;
}

unsigned BusyMeter::perMille() const {
  return static_cast<unsigned>(std::lround(this->Busy * 1'000.0));
}

} // namespace acaciacross::net
