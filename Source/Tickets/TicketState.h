#ifndef ACACIACROSS_TICKETS_TICKETSTATE_H
#define ACACIACROSS_TICKETS_TICKETSTATE_H

namespace acaciacross::tickets {

/// State of a ticket when it is presented.
enum class TicketState {
  /// Not used before; it is now marked as executing.
  Accepted,
  /// Used before; its execution has not finished.
  Executing,
  /// Used before; its outcome is stored.
  Finished,
  /// Past its expiry and without a record; it may have been used.
  Expired,
  /// Issued by another VM or another incarnation.
  OwnedElsewhere,
  /// Not used before, but the table has no room to record its use.
  TableFull,
  /// Not issued by this issuer, or altered.
  Altered,
};

} // namespace acaciacross::tickets

#endif
