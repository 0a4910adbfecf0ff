#include "Control/AuditTrail.h"

namespace acaciacross::control {

void AuditTrail::append(common::WallTime At, std::string_view Cause,
                        std::string_view Subject, std::string_view Text) {
  if (this->Entries.size() == MaxEntries)
    this->Entries.pop_front();
  ++this->LastSequence;
  this->Entries.push_back({this->LastSequence, At,
                           std::string(Cause.substr(0, MaxTextLength)),
                           std::string(Subject.substr(0, MaxTextLength)),
                           std::string(Text.substr(0, MaxTextLength))});
}

std::vector<AuditEntry> AuditTrail::after(std::uint64_t Sequence) const {
  if (this->Entries.empty() || Sequence >= this->LastSequence)
    return {};
  // Sequence numbers have no gaps, so the index follows from the number.
  const std::uint64_t First = this->Entries.front().Sequence;
  const std::uint64_t Skipped = Sequence >= First ? Sequence - First + 1 : 0;
  return {this->Entries.begin() + static_cast<std::ptrdiff_t>(Skipped),
          this->Entries.end()};
}

std::uint64_t AuditTrail::lastSequence() const { return this->LastSequence; }

} // namespace acaciacross::control
