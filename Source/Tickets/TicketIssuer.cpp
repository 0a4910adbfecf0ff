#include "Tickets/TicketIssuer.h"

#include "Common/Hash.h"

#include <utility>

namespace acaciacross::tickets {

TicketIssuer::TicketIssuer(IssuerIdentity Identity, std::uint64_t FirstSequence,
                           std::chrono::milliseconds Validity)
    : Identity(std::move(Identity)), FirstSequence(FirstSequence),
      NextSequence(FirstSequence), Validity(Validity) {}

Ticket TicketIssuer::issue(const common::ClassName &Class,
                           common::MonotonicTime Now) {
  Ticket Issued;
  Issued.Vm = this->Identity.Vm;
  Issued.Owner = this->Identity.CallerAddress;
  Issued.Issuer = this->Identity.Issuer;
  Issued.Class = Class;
  Issued.Sequence = this->NextSequence++;
  Issued.Expiry = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now + this->Validity - this->Identity.StartedAt);
  Issued.AuthenticationCode = this->authenticationCode(Issued);
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
         Presented.AuthenticationCode == this->authenticationCode(Presented);
}

common::MonotonicTime TicketIssuer::expiryTime(const Ticket &Presented) const {
  return this->Identity.StartedAt + Presented.Expiry;
}

// The code covers the expiry, because a ticket with a later expiry than issued
// would outlive its record in the table and could run again.
std::uint64_t TicketIssuer::authenticationCode(const Ticket &Presented) const {
  Ticket Keyed = Presented;
  Keyed.AuthenticationCode = this->Identity.Secret;
  return common::stableHash(Keyed.toString());
}

} // namespace acaciacross::tickets
