#ifndef ACACIACROSS_BENCHMARKS_HEDGINGBENCHMARK_H
#define ACACIACROSS_BENCHMARKS_HEDGINGBENCHMARK_H

#include "Benchmarks/Benchmark.h"
#include "Benchmarks/HedgingRun.h"

namespace acaciacross::benchmarks {

/// One reply in 100 takes 20 times as long: the same requests with and without
/// hedging at an extra-load target of 5%.
class HedgingBenchmark final : public Benchmark {
public:
  std::vector<Measurement> run() override;

private:
  static HedgingRun measure(bool IsHedged);
};

} // namespace acaciacross::benchmarks

#endif
