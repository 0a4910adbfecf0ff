#ifndef ACACIACROSS_BENCHMARKS_BOUND_H
#define ACACIACROSS_BENCHMARKS_BOUND_H

#include <string>

namespace acaciacross::benchmarks {

/// Limit of a measurement.
struct Bound {
  std::string Name;
  /// Otherwise the limit is a lower one.
  bool IsUpper = true;
  double Limit = 0.0;
};

} // namespace acaciacross::benchmarks

#endif
