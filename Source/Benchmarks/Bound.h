#ifndef ACACIACROSS_BENCHMARKS_BOUND_H
#define ACACIACROSS_BENCHMARKS_BOUND_H

#include <string>

namespace acaciacross::benchmarks {

/// Upper or lower limit of a measurement.
struct Bound {
  std::string Name;
  /// True for "<=", false for ">=".
  bool IsUpper = true;
  double Limit = 0.0;
};

} // namespace acaciacross::benchmarks

#endif
