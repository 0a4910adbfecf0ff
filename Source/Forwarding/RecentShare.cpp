#include "Forwarding/RecentShare.h"

#include <chrono>
#include <cmath>

namespace acaciacross::forwarding {

namespace {

// About as long as a burst lasts. A VM gets a few requests of a route in that
// time, so a shorter one would compare single requests.
constexpr std::chrono::seconds FadeTime{5};

} // namespace

void RecentShare::record(bool IsServed, common::MonotonicTime Now) {
  this->Counted = this->at(Now);
  this->CountedAt = Now;
  this->Counted.Asked += 1.0;
  this->Counted.Served += IsServed ? 1.0 : 0.0;
}

ServedShare RecentShare::at(common::MonotonicTime Now) const {
  const std::chrono::duration<double> Age = Now - this->CountedAt;
  const std::chrono::duration<double> TimeConstant = FadeTime;
  const double Left = std::exp(-Age / TimeConstant);
  return {this->Counted.Asked * Left, this->Counted.Served * Left};
}

} // namespace acaciacross::forwarding
