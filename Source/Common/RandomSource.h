#ifndef ACACIACROSS_COMMON_RANDOMSOURCE_H
#define ACACIACROSS_COMMON_RANDOMSOURCE_H

#include <cstdint>

namespace acaciacross::common {

/// Source of random numbers. Tests use one with a fixed seed.
class RandomSource {
public:
  virtual ~RandomSource() = default;

  /// Uniform over all 64-bit values.
  virtual std::uint64_t next() = 0;

  /// Uniform in [0, Bound); Bound must be positive.
  std::uint64_t below(std::uint64_t Bound);

  /// Uniform in [0, 1).
  double unitInterval();
};

} // namespace acaciacross::common

#endif
