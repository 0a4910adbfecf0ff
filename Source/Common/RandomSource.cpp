#include "Common/RandomSource.h"

namespace acaciacross::common {

// The modulo bias is below 2^-32 for every bound in use.
std::uint64_t RandomSource::below(std::uint64_t Bound) {
  return this->next() % Bound;
}

double RandomSource::unitInterval() {
  constexpr int MantissaBits = 53;
  const std::uint64_t Mantissa = this->next() >> (64 - MantissaBits);
  return static_cast<double>(Mantissa) /
         static_cast<double>(std::uint64_t{1} << MantissaBits);
}

} // namespace acaciacross::common
