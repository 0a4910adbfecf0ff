#ifndef ACACIACROSS_RETRIES_LATENCYQUANTILE_H
#define ACACIACROSS_RETRIES_LATENCYQUANTILE_H

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace acaciacross::retries {

/// Quantiles of recent latencies, from a histogram with eight buckets per
/// octave. Uses a fixed amount of memory; add() costs a few instructions.
class LatencyQuantile {
public:
  /// Quantiles cover the newest WindowSamples to 2 * WindowSamples latencies.
  explicit LatencyQuantile(std::uint32_t WindowSamples);

  void add(std::chrono::nanoseconds Latency);
  /// Upper bound of the bucket that contains the quantile, at most 12.5% above
  /// the quantile. Empty without samples.
  std::optional<std::chrono::nanoseconds> quantile(double Fraction) const;
  /// Number of samples that quantiles cover at present.
  std::uint32_t size() const;

private:
  // Buckets cover 2^10 ns (about 1 us) to 2^38 ns (about 275 s).
  static constexpr std::size_t LowestExponent = 10;
  static constexpr std::size_t Octaves = 28;
  static constexpr std::size_t BucketsPerOctave = 8;
  static constexpr std::size_t BucketCount = Octaves * BucketsPerOctave;

  static std::size_t bucketIndex(std::chrono::nanoseconds Latency);
  static std::chrono::nanoseconds upperBound(std::size_t Bucket);

  std::uint32_t WindowSamples;
  std::array<std::uint32_t, BucketCount> Current{};
  std::array<std::uint32_t, BucketCount> Previous{};
  std::uint32_t CurrentSize = 0;
  std::uint32_t PreviousSize = 0;
};

} // namespace acaciacross::retries

#endif
