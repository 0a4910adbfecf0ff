#include "Platform/Backoff.h"

#include <algorithm>

namespace acaciacross::platform {

namespace {

constexpr std::uint32_t MaxDoublings = 16;

} // namespace

Backoff::Backoff(std::chrono::milliseconds InitialWait,
                 std::chrono::milliseconds MaxWait)
    : Initial(InitialWait), Max(MaxWait) {}

std::chrono::milliseconds Backoff::next(common::RandomSource &Random) {
  const auto Factor = 1U << std::min(this->FailureCount, MaxDoublings);
  ++this->FailureCount;
  const auto Limit = std::min(this->Initial * Factor, this->Max);
  const auto MinWait = Limit / 2;
  const auto JitterRange =
      static_cast<std::uint64_t>((Limit - MinWait).count()) + 1;
  return MinWait + std::chrono::milliseconds(Random.below(JitterRange));
}

void Backoff::reset() { this->FailureCount = 0; }

bool Backoff::isReset() const { return this->FailureCount == 0; }

} // namespace acaciacross::platform
