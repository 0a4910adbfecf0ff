#include "Platform/Backoff.h"

#include <algorithm>

namespace acaciacross::platform {

namespace {

constexpr std::uint32_t MaxDoublings = 16;

} // namespace

Backoff::Backoff(std::chrono::milliseconds FirstWait,
                 std::chrono::milliseconds LongestWait)
    : First(FirstWait), Longest(LongestWait) {}

std::chrono::milliseconds Backoff::next(common::RandomSource &Random) {
  const auto Factor = 1U << std::min(this->Failures, MaxDoublings);
  ++this->Failures;
  const auto Full = std::min(this->First * Factor, this->Longest);
  const auto Half = Full / 2;
  const auto Spread = static_cast<std::uint64_t>((Full - Half).count()) + 1;
  return Half + std::chrono::milliseconds(Random.below(Spread));
}

void Backoff::reset() { this->Failures = 0; }

bool Backoff::isFirst() const { return this->Failures == 0; }

} // namespace acaciacross::platform
