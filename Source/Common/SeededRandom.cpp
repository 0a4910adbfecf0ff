#include "Common/SeededRandom.h"

namespace acaciacross::common {

SeededRandom::SeededRandom(std::uint64_t Seed) : Engine(Seed) {}

SeededRandom SeededRandom::fromSystem() {
  std::random_device Device;
  const std::uint64_t High = Device();
  const std::uint64_t Low = Device();
  return SeededRandom((High << 32) | Low);
}

std::uint64_t SeededRandom::next() { return this->Engine(); }

} // namespace acaciacross::common
