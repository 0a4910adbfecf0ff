#include "Forwarding/ServedShare.h"

namespace acaciacross::forwarding {

namespace {

// No priority may be served less than a quarter as often as all requests. Twice
// that leaves room for requests that are lost after they were let through.
constexpr double StarvedRatio = 0.5;

} // namespace

double ServedShare::ratio() const {
  return this->Asked > 0.0 ? this->Served / this->Asked : 1.0;
}

bool ServedShare::isStarved(const ServedShare &All) const {
  return this->ratio() < StarvedRatio * All.ratio();
}

} // namespace acaciacross::forwarding
