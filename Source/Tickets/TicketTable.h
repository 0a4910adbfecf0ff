#ifndef ACACIACROSS_TICKETS_TICKETTABLE_H
#define ACACIACROSS_TICKETS_TICKETTABLE_H

#include "Common/Time.h"
#include "Tickets/TicketIssuer.h"
#include "Tickets/TicketLookup.h"
#include "Tickets/TicketTableLimits.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <unordered_map>

namespace acaciacross::tickets {

/// Which tickets of an issuer were used, and with what outcome.
class TicketTable {
public:
  /// The issuer outlives the table.
  TicketTable(const TicketIssuer &Issuer, TicketTableLimits Bounds);

  /// Marks an unused ticket as executing; for others says what is known.
  TicketLookup present(const Ticket &Presented, common::MonotonicTime Now);

  /// Ends the execution of an accepted ticket. After a refusal nothing ran, so
  /// the ticket may be used again.
  void finish(const Ticket &Executed,
              std::shared_ptr<const query::Outcome> Outcome);

  /// Drops the records whose retention is over.
  void discardOld(common::MonotonicTime Now);

  bool isFull() const;
  std::size_t size() const;

private:
  const TicketIssuer &Issuer;
  TicketTableLimits Limits;
  /// By sequence number; empty while executing.
  std::unordered_map<std::uint64_t, std::shared_ptr<const query::Outcome>>
      Records;
  /// Finished tickets by the end of their retention.
  std::multimap<common::MonotonicTime, std::uint64_t> DiscardAt;
  std::size_t StoredBytes = 0;
};

} // namespace acaciacross::tickets

#endif
