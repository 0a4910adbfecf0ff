#ifndef ACACIACROSS_BENCHMARKS_HEDGINGBENCHMARK_H
#define ACACIACROSS_BENCHMARKS_HEDGINGBENCHMARK_H

#include "Benchmarks/Benchmark.h"
#include "Benchmarks/HedgingRun.h"

namespace acaciacross::benchmarks {

/// Runs the same requests with and without hedging while one reply in 100 takes
/// 20 times as long. The extra-load target is 5%.
class HedgingBenchmark final : public Benchmark {
public:
  std::vector<Measurement> run() override;

private:
  static HedgingRun measure(bool IsHedged);
};

} // namespace acaciacross::benchmarks

#endif
