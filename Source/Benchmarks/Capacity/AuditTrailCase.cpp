#include "Benchmarks/Capacity/AuditTrailCase.h"

namespace acaciacross::benchmarks {

AuditTrailCase::AuditTrailCase(std::size_t Length) : TextLength(Length) {}

std::string AuditTrailCase::name() const {
  return "audit_trail.text_" + std::to_string(this->TextLength);
}

std::string AuditTrailCase::unit() const { return "entry"; }

std::uint64_t AuditTrailCase::operations() const {
  return control::AuditTrail::MaxEntries;
}

void AuditTrailCase::prepare() {
  this->Text = std::string(this->TextLength, 'a');
}

void AuditTrailCase::run() {
  for (std::size_t I = 0; I < control::AuditTrail::MaxEntries; ++I)
    this->Trail.append(this->Clock.wallNow(), "peer entry-6599",
                       "service/service-1399", this->Text);
}

} // namespace acaciacross::benchmarks
