#ifndef ACACIACROSS_BENCHMARKS_BENCHMARK_H
#define ACACIACROSS_BENCHMARKS_BENCHMARK_H

#include "Benchmarks/Measurement.h"

#include <vector>

namespace acaciacross::benchmarks {

/// A deterministic benchmark: every run gives the same measurements.
class Benchmark {
public:
  virtual ~Benchmark() = default;
  virtual std::vector<Measurement> run() = 0;
};

} // namespace acaciacross::benchmarks

#endif
