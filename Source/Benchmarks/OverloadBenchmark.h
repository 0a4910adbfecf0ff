#ifndef ACACIACROSS_BENCHMARKS_OVERLOADBENCHMARK_H
#define ACACIACROSS_BENCHMARKS_OVERLOADBENCHMARK_H

#include "Benchmarks/BenchFleet.h"
#include "Benchmarks/Benchmark.h"

namespace acaciacross::benchmarks {

/// Nine entry VMs receive twice as many requests as 30 searchers can serve,
/// nine tenths of them in one class.
class OverloadBenchmark final : public Benchmark {
public:
  std::vector<Measurement> run() override;

private:
  /// Number of requests that were refused although a searcher had started to
  /// execute them.
  static double countExecutedRefusals(const BenchFleet &Fleet);
};

} // namespace acaciacross::benchmarks

#endif
