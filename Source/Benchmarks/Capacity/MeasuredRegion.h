#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_MEASUREDREGION_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_MEASUREDREGION_H

#include "Benchmarks/Capacity/CapacityCase.h"

namespace acaciacross::benchmarks {

/// Runs the operations of a case. Callgrind, when started with
/// --instr-atstart=no, counts only the instructions of this call.
class MeasuredRegion {
public:
  static void run(CapacityCase &Case);
};

} // namespace acaciacross::benchmarks

#endif
