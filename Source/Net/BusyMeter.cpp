#include "Net/BusyMeter.h"

#include <algorithm>
#include <cmath>

namespace acaciacross::net {

namespace {

// Short enough to show a burst while it lasts, longer than one query.
constexpr std::chrono::duration<double> Memory{1.0};

} // namespace

void BusyMeter::note(common::MonotonicTime Now,
                     std::chrono::nanoseconds Waited) {
  if (!this->At) {
    this->At = Now;
    this->WaitedBefore = Waited;
    return;
  }
  const std::chrono::duration<double> Passed = Now - *this->At;
  if (Passed.count() <= 0.0)
    return;
  const std::chrono::duration<double> Idle = Waited - this->WaitedBefore;
  const double Sample = std::clamp(1.0 - Idle / Passed, 0.0, 1.0);
  const double Kept = std::exp(-(Passed / Memory));
  this->Busy = Kept * this->Busy + (1.0 - Kept) * Sample;
  this->At = Now;
  this->WaitedBefore = Waited;
}

unsigned BusyMeter::perMille() const {
  return static_cast<unsigned>(std::lround(this->Busy * 1'000.0));
}

} // namespace acaciacross::net
