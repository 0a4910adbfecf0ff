#include "Retries/LatencyQuantile.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace acaciacross::retries {

// Boost.Accumulators has no quantile over recent samples: p_square_quantile and
// density cover all samples ever added, and rolling windows exist only for sums
// and means. The estimate must follow a service that becomes slower or faster,
// so this uses a histogram with two rotating halves.
LatencyQuantile::LatencyQuantile(std::uint32_t WindowSamples)
    : WindowSamples(std::max<std::uint32_t>(WindowSamples, 1)) {}

void LatencyQuantile::add(std::chrono::nanoseconds Latency) {
  if (this->CurrentSize == this->WindowSamples) {
    this->Previous = this->Current;
    this->PreviousSize = this->CurrentSize;
    this->Current.fill(0);
    this->CurrentSize = 0;
  }
  ++this->Current[bucketIndex(Latency)];
  ++this->CurrentSize;
}

std::optional<std::chrono::nanoseconds>
LatencyQuantile::quantile(double Fraction) const {
  if (this->size() == 0)
    return std::nullopt;
  const double FractionalRank = std::ceil(std::clamp(Fraction, 0.0, 1.0) *
                                          static_cast<double>(this->size()));
  const auto Rank =
      std::max<std::uint64_t>(1, static_cast<std::uint64_t>(FractionalRank));
  std::uint64_t CumulativeCount = 0;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    CumulativeCount += this->Current[Bucket] + this->Previous[Bucket];
    if (CumulativeCount >= Rank)
      return upperBound(Bucket);
  }
  return upperBound(BucketCount - 1);
}

std::uint32_t LatencyQuantile::size() const {
  return this->CurrentSize + this->PreviousSize;
}

std::size_t LatencyQuantile::bucketIndex(std::chrono::nanoseconds Latency) {
  constexpr std::uint64_t LowestNanoseconds = std::uint64_t{1}
                                              << LowestExponent;
  const auto Nanoseconds = static_cast<std::uint64_t>(
      std::max<std::chrono::nanoseconds::rep>(Latency.count(), 0));
  if (Nanoseconds < LowestNanoseconds)
    return 0;
  const auto Exponent =
      static_cast<std::size_t>(std::bit_width(Nanoseconds) - 1);
  if (Exponent >= LowestExponent + Octaves)
    return BucketCount - 1;
  // The three bits below the highest one select one of the eight buckets of an
  // octave.
  const std::size_t SubBucket =
      (Nanoseconds >> (Exponent - 3)) % BucketsPerOctave;
  return (Exponent - LowestExponent) * BucketsPerOctave + SubBucket;
}

std::chrono::nanoseconds LatencyQuantile::upperBound(std::size_t Bucket) {
  const std::size_t Exponent = LowestExponent + Bucket / BucketsPerOctave;
  const std::uint64_t SubBucket = Bucket % BucketsPerOctave;
  const std::uint64_t Bound = (BucketsPerOctave + SubBucket + 1)
                              << (Exponent - 3);
  return std::chrono::nanoseconds(static_cast<std::int64_t>(Bound));
}

} // namespace acaciacross::retries
