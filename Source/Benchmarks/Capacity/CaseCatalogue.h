#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_CASECATALOGUE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_CASECATALOGUE_H

#include "Benchmarks/Capacity/CapacityCase.h"

#include <memory>
#include <vector>

namespace acaciacross::benchmarks {

/// Creates all cases, at the sizes that docs/CAPACITY.md uses.
class CaseCatalogue {
public:
  static std::vector<std::unique_ptr<CapacityCase>> make();
};

} // namespace acaciacross::benchmarks

#endif
