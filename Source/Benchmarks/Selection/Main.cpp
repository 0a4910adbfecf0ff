#include "Benchmarks/Selection/SelectionRun.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_uint32(searchers, 480,
              "number of searchers of the service, at least 160");
DEFINE_uint64(choices, 200'000, "number of replica choices");

// Prints one figure per line. Tools/bench also runs the program under callgrind
// to count the instructions of the choices.
int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  acaciacross::benchmarks::SelectionRun Run(FLAGS_searchers);
  Run.choose(FLAGS_choices);
  std::printf("selection.allocations_%u %.6f\n", FLAGS_searchers,
              static_cast<double>(Run.allocations()) /
                  static_cast<double>(FLAGS_choices));
  std::printf("selection.wall_ns_%u %lld\n", FLAGS_searchers,
              static_cast<long long>(Run.meanTime().count()));
}
