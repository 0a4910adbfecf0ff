#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_CAPACITYCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_CAPACITYCASE_H

#include <cstdint>
#include <string>

namespace acaciacross::benchmarks {

/// Measures the cost of one operation or the memory of one unit.
class CapacityCase {
public:
  virtual ~CapacityCase() = default;

  virtual std::string name() const = 0;
  /// Name of one operation, as printed in the table.
  virtual std::string unit() const = 0;
  /// Number of operations of a run; the totals are divided by it.
  virtual std::uint64_t operations() const = 0;

  /// Sets up what the operations need. Not measured.
  virtual void prepare() = 0;
  /// Runs all operations. Measured.
  virtual void run() = 0;

  /// False when other threads of the program run at the same time, so that of
  /// all times only the CPU time of this thread belongs to the case.
  virtual bool isSingleThreaded() const { return true; }

  /// Total bytes that the operations encoded or read; 0 when they do neither.
  virtual std::uint64_t encodedBytes() const { return 0; }
};

} // namespace acaciacross::benchmarks

#endif
