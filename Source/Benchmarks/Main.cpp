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

DEFINE_string(figures, "",
              "file with further measurements, one per line: name and value");
DEFINE_string(bounds, "", "file with the bounds of the measurements");

namespace {

using acaciacross::benchmarks::Measurement;

std::vector<Measurement> readFigures(const std::string &Path) {
  std::vector<Measurement> Figures;
  std::ifstream File(Path);
  Measurement Figure;
  while (File >> Figure.Name >> Figure.Value)
    Figures.push_back(Figure);
  return Figures;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  using namespace acaciacross::benchmarks;
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  try {
    const BoundsFile Bounds(FLAGS_bounds);
    HedgingBenchmark Hedging;
    BrownoutBenchmark Brownout;
    OverloadBenchmark Overload;
    std::vector<Measurement> Measured = readFigures(FLAGS_figures);
    for (Benchmark *Current :
         std::initializer_list<Benchmark *>{&Hedging, &Brownout, &Overload})
      for (const Measurement &Figure : Current->run())
        Measured.push_back(Figure);
    return Bounds.check(Measured) ? 0 : 1;
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "acaciacross-bench: %s\n", Error.what());
    return 2;
  }
}
