#ifndef ACACIACROSS_BENCHMARKS_BENCHCLASS_H
#define ACACIACROSS_BENCHMARKS_BENCHCLASS_H

#include "Configuration/ClassDefinition.h"

namespace acaciacross::benchmarks {

/// A class of work in a benchmark.
struct BenchClass {
  configuration::ClassDefinition Definition;
  /// From a request's arrival.
  std::chrono::milliseconds TimeLimit{400};
  bool IsHedged = true;
};

} // namespace acaciacross::benchmarks

#endif
