#include "Forwarding/CallerClock.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// Among fewer there may be none on an open connection.
constexpr std::size_t LeastSamples = 8;

} // namespace

std::optional<std::chrono::milliseconds>
CallerClock::note(std::chrono::milliseconds Waits) {
  this->Recent[this->Count++ % Kept] = Waits;
  if (this->Count < LeastSamples)
    return std::nullopt;
  return std::ranges::max(this->Recent) - Waits;
}

} // namespace acaciacross::forwarding
