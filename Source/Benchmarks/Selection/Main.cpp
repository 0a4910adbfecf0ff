#include "Benchmarks/Selection/SelectionRun.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_uint32(searchers, 480, "searchers of the service, at least 160");
DEFINE_uint64(choices, 200'000, "replica choices");

// Prints one figure a line. Tools/bench runs it under callgrind, which counts
// the instructions of the choices.
int main(int Count, char **Words) {
  gflags::ParseCommandLineFlags(&Count, &Words, true);
  acaciacross::benchmarks::SelectionRun Run(FLAGS_searchers);
  Run.choose(FLAGS_choices);
  std::printf("selection.allocations_%u %.6f\n", FLAGS_searchers,
              static_cast<double>(Run.allocations()) /
                  static_cast<double>(FLAGS_choices));
  std::printf("selection.wall_ns_%u %lld\n", FLAGS_searchers,
              static_cast<long long>(Run.meanTime().count()));
}
