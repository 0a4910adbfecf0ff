#ifndef ACACIACROSS_BENCHMARKS_MEASUREMENT_H
#define ACACIACROSS_BENCHMARKS_MEASUREMENT_H

#include <string>

namespace acaciacross::benchmarks {

/// A measured value and its name, such as "hedging.extra_load".
struct Measurement {
  std::string Name;
  double Value = 0.0;
};

} // namespace acaciacross::benchmarks

#endif
