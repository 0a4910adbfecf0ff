#ifndef ACACIACROSS_RETRIES_LATENCYQUANTILE_H
#define ACACIACROSS_RETRIES_LATENCYQUANTILE_H

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace acaciacross::retries {

/// Quantiles of recent latencies, from a histogram whose buckets grow by an
/// eighth of an octave. Fixed memory; add() costs a few instructions.
class LatencyQuantile {
public:
  /// The newest WindowSamples to 2 * WindowSamples latencies count.
  explicit LatencyQuantile(std::uint32_t WindowSamples);

  void add(std::chrono::nanoseconds Latency);
  /// Upper bound of the bucket that holds the quantile, at most 12.5% above
  /// it. Empty without samples.
  std::optional<std::chrono::nanoseconds> quantile(double Fraction) const;
  /// Samples that count now.
  std::uint32_t size() const;

private:
  // From 2^10 ns (about 1 us) to 2^38 ns (about 275 s).
  static constexpr std::size_t LowestExponent = 10;
  static constexpr std::size_t Octaves = 28;
  static constexpr std::size_t BucketsPerOctave = 8;
  static constexpr std::size_t BucketCount = Octaves * BucketsPerOctave;

  static std::size_t bucketOf(std::chrono::nanoseconds Latency);
  static std::chrono::nanoseconds upperBound(std::size_t Bucket);

  std::uint32_t WindowSamples;
  std::array<std::uint32_t, BucketCount> Current{};
  std::array<std::uint32_t, BucketCount> Previous{};
  std::uint32_t CurrentSize = 0;
  std::uint32_t PreviousSize = 0;
};

} // namespace acaciacross::retries

#endif
