#ifndef ACACIACROSS_BENCHMARKS_OVERLOADBENCHMARK_H
#define ACACIACROSS_BENCHMARKS_OVERLOADBENCHMARK_H

#include "Benchmarks/BenchFleet.h"
#include "Benchmarks/Benchmark.h"

namespace acaciacross::benchmarks {

/// Nine entry VMs get twice the requests that 30 searchers can serve, nine
/// tenths of them of one class.
class OverloadBenchmark final : public Benchmark {
public:
  std::vector<Measurement> run() override;

private:
  /// Requests that were refused although a searcher had started their work.
  static double untrueRefusals(const BenchFleet &Fleet);
};

} // namespace acaciacross::benchmarks

#endif
