#include "Tickets/TicketIssuer.h"

#include "Common/Hash.h"

#include <utility>

namespace acaciacross::tickets {

TicketIssuer::TicketIssuer(IssuerIdentity Self, std::uint64_t FirstSequence,
                           std::chrono::milliseconds Validity)
    : Identity(std::move(Self)), FirstSequence(FirstSequence),
      NextSequence(FirstSequence), Validity(Validity) {}

Ticket TicketIssuer::issue(const common::ClassName &Class,
                           common::MonotonicTime Now) {
  Ticket Issued;
  Issued.Vm = this->Identity.Vm;
  Issued.Owner = this->Identity.Callers;
  Issued.Issuer = this->Identity.Issuer;
  Issued.Class = Class;
  Issued.Sequence = this->NextSequence++;
  Issued.Expiry = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now + this->Validity - this->Identity.StartedAt);
  Issued.Check = this->checkOf(Issued);
  return Issued;
}

std::chrono::milliseconds TicketIssuer::validity() const {
  return this->Validity;
}

bool TicketIssuer::isOwn(const Ticket &Presented) const {
  return Presented.Issuer == this->Identity.Issuer;
}

bool TicketIssuer::isGenuine(const Ticket &Presented) const {
  return this->isOwn(Presented) && Presented.Sequence >= this->FirstSequence &&
         Presented.Sequence < this->NextSequence &&
         Presented.Check == this->checkOf(Presented);
}

common::MonotonicTime TicketIssuer::expiryOf(const Ticket &Presented) const {
  return this->Identity.StartedAt + Presented.Expiry;
}

// A ticket with a later expiry than the issued one would outlive its record in
// the table and could run again.
std::uint64_t TicketIssuer::checkOf(const Ticket &Presented) const {
  Ticket Keyed = Presented;
  Keyed.Check = this->Identity.Secret;
  return common::stableHash(Keyed.toString());
}

} // namespace acaciacross::tickets
