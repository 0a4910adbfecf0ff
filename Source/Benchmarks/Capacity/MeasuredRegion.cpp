#include "Benchmarks/Capacity/MeasuredRegion.h"

#include <valgrind/callgrind.h>

namespace acaciacross::benchmarks {

// Outside callgrind the two requests are a few instructions without effect.
void MeasuredRegion::run(CapacityCase &Case) {
  CALLGRIND_START_INSTRUMENTATION;
  Case.run();
  CALLGRIND_STOP_INSTRUMENTATION;
}

} // namespace acaciacross::benchmarks
