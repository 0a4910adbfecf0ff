#ifndef ACACIACROSS_BENCHMARKS_BROWNOUTBENCHMARK_H
#define ACACIACROSS_BENCHMARKS_BROWNOUTBENCHMARK_H

#include "Benchmarks/Benchmark.h"

namespace acaciacross::benchmarks {

/// Half of the replicas fail for 20 s. Measures whether extra load stays within
/// its target in every second and whether coverage recovers afterwards.
class BrownoutBenchmark final : public Benchmark {
public:
  std::vector<Measurement> run() override;
};

} // namespace acaciacross::benchmarks

#endif
