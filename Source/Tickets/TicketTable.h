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

/// Records which tickets of an issuer were used, and their outcomes.
class TicketTable {
public:
  /// The issuer must outlive the table.
  TicketTable(const TicketIssuer &Issuer, TicketTableLimits Limits);

  /// Marks an unused ticket as executing; for any other ticket it only returns
  /// the state.
  TicketLookup claim(const Ticket &Presented, common::MonotonicTime Now);

  /// Stores the outcome of an accepted ticket. After a refusal nothing has run,
  /// so the ticket may be used again.
  void finish(const Ticket &Executed,
              std::shared_ptr<const query::Outcome> Outcome);

  /// Removes the records whose retention has ended.
  void removeExpiredRecords(common::MonotonicTime Now);

  bool isFull() const;
  std::size_t size() const;

private:
  const TicketIssuer &Issuer;
  TicketTableLimits Limits;
  /// Outcomes by sequence number; null while the ticket is executing.
  std::unordered_map<std::uint64_t, std::shared_ptr<const query::Outcome>>
      Records;
  /// Sequence numbers of finished tickets by the end of their retention.
  std::multimap<common::MonotonicTime, std::uint64_t> DiscardQueue;
  std::size_t StoredBytes = 0;
};

} // namespace acaciacross::tickets

#endif
