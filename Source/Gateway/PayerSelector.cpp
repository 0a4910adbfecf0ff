#include "Gateway/PayerSelector.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::gateway {

namespace {

// Claims are compared by size times age. TCP may take up to a second to send a
// lost packet again, so a shorter age says nothing of the caller, and size
// alone decides.
constexpr std::chrono::nanoseconds AgeOffset = std::chrono::seconds(1);

double weightOf(const MemoryClaim &Claim, common::MonotonicTime Now) {
  const std::chrono::duration<double> Age = Now - Claim.ProgressAt + AgeOffset;
  return static_cast<double>(Claim.Bytes) * Age.count();
}

} // namespace

PayerSelector::PayerSelector(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}

// Frees an eighth more than needed: looking through all connections then costs
// little for each read that a crowd brings.
std::vector<std::size_t>
PayerSelector::select(std::span<const MemoryClaim> Claims,
                      common::MonotonicTime Now) const {
  std::size_t Held = 0;
  std::vector<std::size_t> Candidates;
  for (std::size_t I = 0; I < Claims.size(); ++I) {
    Held += Claims[I].Bytes;
    if (Claims[I].Use != MemoryUse::Serving)
      Candidates.push_back(I);
  }
  if (Held <= this->MaxBytes)
    return {};
  std::ranges::sort(Candidates, std::ranges::greater{},
                    [&](std::size_t I) { return weightOf(Claims[I], Now); });
  const std::size_t Target = this->MaxBytes - this->MaxBytes / 8;
  std::size_t Count = 0;
  for (; Count < Candidates.size() && Held > Target; ++Count)
    Held -= Claims[Candidates[Count]].Bytes;
  Candidates.resize(Count);
  return Candidates;
}

// Requests within an equal share take no more than the limit once more, all
// together, and ordinary callers have small ones.
bool PayerSelector::admits(std::size_t RequestBytes, std::size_t Held,
                           std::size_t Connections) const {
  return Held <= this->MaxBytes || RequestBytes * Connections <= this->MaxBytes;
}

} // namespace acaciacross::gateway
