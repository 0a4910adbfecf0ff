#include "Benchmarks/Capacity/CaseCatalogue.h"
#include "Benchmarks/Capacity/HeapCounter.h"
#include "Benchmarks/Capacity/MeasuredRegion.h"

#include <chrono>
#include <cstdio>
#include <ctime>
#include <gflags/gflags.h>
#include <glog/logging.h>

DEFINE_bool(list, false, "only print the names of the cases");
DEFINE_string(only, "", "run only this case");

namespace {

using acaciacross::benchmarks::CapacityCase;
using acaciacross::benchmarks::HeapCounter;

std::chrono::nanoseconds threadCpuTime() {
  timespec Now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Now);
  return std::chrono::seconds(Now.tv_sec) +
         std::chrono::nanoseconds(Now.tv_nsec);
}

// Prints one line of JSON with the totals over all operations.
void measure(CapacityCase &Case) {
  Case.prepare();
  const std::uint64_t AllocationsBefore = HeapCounter::allocations();
  const std::int64_t BytesBefore = HeapCounter::bytesInUse();
  const auto WallBegin = std::chrono::steady_clock::now();
  const std::chrono::nanoseconds CpuBegin = threadCpuTime();
  acaciacross::benchmarks::MeasuredRegion::run(Case);
  const std::chrono::nanoseconds Cpu = threadCpuTime() - CpuBegin;
  const std::chrono::nanoseconds Wall =
      std::chrono::steady_clock::now() - WallBegin;
  std::printf(
      R"({"name":"%s","unit":"%s","operations":%llu,"allocations":%llu,)"
      R"("retained_bytes":%lld,"encoded_bytes":%llu,"wall_ns":%lld,)"
      R"("cpu_ns":%lld,"alone":%s})"
      "\n",
      Case.name().c_str(), Case.unit().c_str(),
      static_cast<unsigned long long>(Case.operations()),
      static_cast<unsigned long long>(HeapCounter::allocations() -
                                      AllocationsBefore),
      static_cast<long long>(HeapCounter::bytesInUse() - BytesBefore),
      static_cast<unsigned long long>(Case.encodedBytes()),
      static_cast<long long>(Wall.count()), static_cast<long long>(Cpu.count()),
      Case.isSingleThreaded() ? "true" : "false");
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  // Log lines are still formatted, as in production, but not written.
  FLAGS_minloglevel = google::GLOG_FATAL;
  for (auto &Case : acaciacross::benchmarks::CaseCatalogue::make()) {
    if (!FLAGS_only.empty() && Case->name() != FLAGS_only)
      continue;
    if (FLAGS_list)
      std::printf("%s\n", Case->name().c_str());
    else
      measure(*Case);
    std::fflush(stdout);
    // Frees the state of this case before the next one starts.
    Case.reset();
  }
}
