#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_CAPACITYCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_CAPACITYCASE_H

#include <cstdint>
#include <string>

namespace acaciacross::benchmarks {

/// One measured slope: the cost of an operation, or the memory per unit.
class CapacityCase {
public:
  virtual ~CapacityCase() = default;

  virtual std::string name() const = 0;
  /// What one operation is, for the table.
  virtual std::string unit() const = 0;
  virtual std::uint64_t operations() const = 0;

  /// Makes what the operations need; not measured.
  virtual void prepare() = 0;
  /// Does all operations.
  virtual void run() = 0;

  /// False when other threads of the program run meanwhile, so that only the
  /// processor time of this thread belongs to the case.
  virtual bool isAlone() const { return true; }

  /// Bytes that the operations encoded or read, in all; 0 when there are none.
  virtual std::uint64_t encodedBytes() const { return 0; }
};

} // namespace acaciacross::benchmarks

#endif
