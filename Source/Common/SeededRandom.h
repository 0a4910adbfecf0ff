#ifndef ACACIACROSS_COMMON_SEEDEDRANDOM_H
#define ACACIACROSS_COMMON_SEEDEDRANDOM_H

#include "Common/RandomSource.h"

#include <random>

namespace acaciacross::common {

/// Pseudo-random number generator; the same seed gives the same sequence.
class SeededRandom final : public RandomSource {
public:
  explicit SeededRandom(std::uint64_t Seed);

  /// Returns a generator with a seed from the operating system.
  static SeededRandom fromSystem();

  std::uint64_t next() override;

private:
  std::mt19937_64 Engine;
};

} // namespace acaciacross::common

#endif
