#include "Benchmarks/BoundsFile.h"
#include "Benchmarks/BrownoutBenchmark.h"
#include "Benchmarks/HedgingBenchmark.h"
#include "Benchmarks/OverloadBenchmark.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <string>
#include <vector>

DEFINE_string(figures, "", "file with further measurements: name and value");
DEFINE_string(bounds, "", "file with the bounds of the measurements");

namespace {

using acaciacross::benchmarks::Measurement;

std::vector<Measurement> readFigures(const std::string &Path) {
  std::vector<Measurement> Read;
  std::ifstream File(Path);
  Measurement Each;
  while (File >> Each.Name >> Each.Value)
    Read.push_back(Each);
  return Read;
}

} // namespace

int main(int Count, char **Words) {
  using namespace acaciacross::benchmarks;
  gflags::ParseCommandLineFlags(&Count, &Words, true);
  try {
    const BoundsFile Bounds(FLAGS_bounds);
    HedgingBenchmark Hedging;
    BrownoutBenchmark Brownout;
    OverloadBenchmark Overload;
    std::vector<Measurement> Measured = readFigures(FLAGS_figures);
    for (Benchmark *Each :
         std::initializer_list<Benchmark *>{&Hedging, &Brownout, &Overload})
      for (const Measurement &Figure : Each->run())
        Measured.push_back(Figure);
    return Bounds.check(Measured) ? 0 : 1;
  } catch (const std::exception &Failed) {
    std::fprintf(stderr, "acaciacross-bench: %s\n", Failed.what());
    return 2;
  }
}
