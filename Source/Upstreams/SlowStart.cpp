#include "Upstreams/SlowStart.h"

#include <algorithm>
#include <array>

namespace acaciacross::upstreams {

namespace {

constexpr std::chrono::seconds StepPeriod{2};
constexpr std::array Steps = {0.1, 0.25, 0.5, 0.75};

} // namespace

double SlowStart::shareAfter(std::chrono::nanoseconds Elapsed) {
  if (SlowStart::isOver(Elapsed))
    return 1.0;
  const auto ElapsedOrZero = std::max(Elapsed, std::chrono::nanoseconds(0));
  return Steps[static_cast<std::size_t>(ElapsedOrZero / StepPeriod)];
}

bool SlowStart::isOver(std::chrono::nanoseconds Elapsed) {
  return Elapsed >= StepPeriod * Steps.size();
}

} // namespace acaciacross::upstreams
