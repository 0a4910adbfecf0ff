#ifndef ACACIACROSS_TICKETS_TICKETISSUER_H
#define ACACIACROSS_TICKETS_TICKETISSUER_H

#include "Tickets/IssuerIdentity.h"
#include "Tickets/Ticket.h"

#include <chrono>

namespace acaciacross::tickets {

/// Issues tickets with unique sequence numbers and verifies them.
class TicketIssuer {
public:
  /// FirstSequence keeps the sequence numbers of several issuers of a process
  /// apart.
  TicketIssuer(IssuerIdentity Identity, std::uint64_t FirstSequence,
               std::chrono::milliseconds Validity);

  Ticket issue(const common::ClassName &Class, common::MonotonicTime Now);

  /// Time from the issue of a ticket to its expiry.
  std::chrono::milliseconds validity() const;

  /// True for tickets that name this process as their issuer, including altered
  /// ones.
  bool isOwn(const Ticket &Presented) const;

  /// True when this issuer issued the ticket and no field was altered.
  bool isGenuine(const Ticket &Presented) const;

  common::MonotonicTime expiryTime(const Ticket &Presented) const;

private:
  std::uint64_t authenticationCode(const Ticket &Presented) const;

  IssuerIdentity Identity;
  std::uint64_t FirstSequence;
  std::uint64_t NextSequence;
  std::chrono::milliseconds Validity;
};

} // namespace acaciacross::tickets

#endif
