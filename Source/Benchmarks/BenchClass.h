#ifndef ACACIACROSS_BENCHMARKS_BENCHCLASS_H
#define ACACIACROSS_BENCHMARKS_BENCHCLASS_H

#include "Configuration/ClassDefinition.h"

namespace acaciacross::benchmarks {

/// Settings of a request class in a benchmark.
struct BenchClass {
  configuration::ClassDefinition Definition;
  /// Deadline of a request, counted from its arrival.
  std::chrono::milliseconds TimeLimit{400};
  bool IsHedged = true;
};

} // namespace acaciacross::benchmarks

#endif
