#ifndef ACACIACROSS_TICKETS_TICKETISSUER_H
#define ACACIACROSS_TICKETS_TICKETISSUER_H

#include "Tickets/IssuerIdentity.h"
#include "Tickets/Ticket.h"

#include <chrono>

namespace acaciacross::tickets {

/// Makes tickets, each with its own sequence number.
class TicketIssuer {
public:
  /// FirstSequence keeps the ranges of several issuers of a process apart.
  TicketIssuer(IssuerIdentity Self, std::uint64_t FirstSequence,
               std::chrono::milliseconds Validity);

  Ticket issue(const common::ClassName &Class, common::MonotonicTime Now);

  std::chrono::milliseconds validity() const;

  /// True for tickets of this process, altered ones included.
  bool isOwn(const Ticket &Presented) const;

  /// True when this issuer made the ticket and no field was altered.
  bool isGenuine(const Ticket &Presented) const;

  common::MonotonicTime expiryOf(const Ticket &Presented) const;

private:
  std::uint64_t checkOf(const Ticket &Presented) const;

  IssuerIdentity Identity;
  std::uint64_t FirstSequence;
  std::uint64_t NextSequence;
  std::chrono::milliseconds Validity;
};

} // namespace acaciacross::tickets

#endif
