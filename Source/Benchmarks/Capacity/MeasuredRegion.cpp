#include "Benchmarks/Capacity/MeasuredRegion.h"

#include <valgrind/callgrind.h>

namespace acaciacross::benchmarks {

// Without callgrind the two macros are a few instructions that have no effect.
void MeasuredRegion::run(CapacityCase &Case) {
  CALLGRIND_START_INSTRUMENTATION;
  Case.run();
  CALLGRIND_STOP_INSTRUMENTATION;
}

} // namespace acaciacross::benchmarks
