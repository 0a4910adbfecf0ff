#include "Retries/LatencyQuantile.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace acaciacross::retries {

// Boost.Accumulators has no quantile that forgets: p_square_quantile and
// density run over all samples ever seen, and rolling windows exist for sums
// and means only. The estimate must follow a service that becomes slower or
// faster, so a histogram with two rotating halves is used.
LatencyQuantile::LatencyQuantile(std::uint32_t WindowSamples)
    : WindowSamples(std::max<std::uint32_t>(WindowSamples, 1)) {}

void LatencyQuantile::add(std::chrono::nanoseconds Latency) {
  if (this->CurrentSize == this->WindowSamples) {
    this->Previous = this->Current;
    this->PreviousSize = this->CurrentSize;
    this->Current.fill(0);
    this->CurrentSize = 0;
  }
  ++this->Current[bucketOf(Latency)];
  ++this->CurrentSize;
}

std::optional<std::chrono::nanoseconds>
LatencyQuantile::quantile(double Fraction) const {
  if (this->size() == 0)
    return std::nullopt;
  const double Wanted = std::ceil(std::clamp(Fraction, 0.0, 1.0) *
                                  static_cast<double>(this->size()));
  const auto Rank =
      std::max<std::uint64_t>(1, static_cast<std::uint64_t>(Wanted));
  std::uint64_t Seen = 0;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    Seen += this->Current[Bucket] + this->Previous[Bucket];
    if (Seen >= Rank)
      return upperBound(Bucket);
  }
  return upperBound(BucketCount - 1);
}

std::uint32_t LatencyQuantile::size() const {
  return this->CurrentSize + this->PreviousSize;
}

std::size_t LatencyQuantile::bucketOf(std::chrono::nanoseconds Latency) {
  constexpr std::uint64_t Lowest = std::uint64_t{1} << LowestExponent;
  const auto Value = static_cast<std::uint64_t>(
      std::max<std::chrono::nanoseconds::rep>(Latency.count(), 0));
  if (Value < Lowest)
    return 0;
  const auto Exponent = static_cast<std::size_t>(std::bit_width(Value) - 1);
  if (Exponent >= LowestExponent + Octaves)
    return BucketCount - 1;
  // The three bits below the highest one divide an octave by eight.
  const std::size_t Part = (Value >> (Exponent - 3)) % BucketsPerOctave;
  return (Exponent - LowestExponent) * BucketsPerOctave + Part;
}

std::chrono::nanoseconds LatencyQuantile::upperBound(std::size_t Bucket) {
  const std::size_t Exponent = LowestExponent + Bucket / BucketsPerOctave;
  const std::uint64_t Part = Bucket % BucketsPerOctave;
  const std::uint64_t Bound = (BucketsPerOctave + Part + 1) << (Exponent - 3);
  return std::chrono::nanoseconds(static_cast<std::int64_t>(Bound));
}

} // namespace acaciacross::retries
