#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_AUDITTRAILCASE_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_AUDITTRAILCASE_H

#include "Benchmarks/Capacity/CapacityCase.h"
#include "Control/AuditTrail.h"
#include "TestSupport/ManualClock.h"

#include <string>

namespace acaciacross::benchmarks {

/// Memory per entry of a full audit trail.
class AuditTrailCase final : public CapacityCase {
public:
  explicit AuditTrailCase(std::size_t TextLength);

  std::string name() const override;
  std::string unit() const override;
  std::uint64_t operations() const override;
  void prepare() override;
  void run() override;

private:
  std::size_t TextLength;
  testsupport::ManualClock Clock;
  control::AuditTrail Trail;
  std::string Text;
};

} // namespace acaciacross::benchmarks

#endif
