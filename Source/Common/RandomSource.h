#ifndef ACACIACROSS_COMMON_RANDOMSOURCE_H
#define ACACIACROSS_COMMON_RANDOMSOURCE_H

#include <cstdint>

namespace acaciacross::common {

/// Source of random numbers; tests pass a seeded one.
class RandomSource {
public:
  virtual ~RandomSource() = default;

  virtual std::uint64_t next() = 0;

  /// Uniform in [0, Bound); Bound must be positive.
  std::uint64_t below(std::uint64_t Bound);

  /// Uniform in [0, 1).
  double unitInterval();
};

} // namespace acaciacross::common

#endif
