#ifndef ACACIACROSS_COMMON_SEEDEDRANDOM_H
#define ACACIACROSS_COMMON_SEEDEDRANDOM_H

#include "Common/RandomSource.h"

#include <random>

namespace acaciacross::common {

/// Pseudo-random numbers that repeat for the same seed.
class SeededRandom final : public RandomSource {
public:
  explicit SeededRandom(std::uint64_t Seed);

  /// A source seeded by the operating system.
  static SeededRandom fromSystem();

  std::uint64_t next() override;

private:
  std::mt19937_64 Engine;
};

} // namespace acaciacross::common

#endif
