#ifndef ACACIACROSS_TICKETS_TICKETSTATE_H
#define ACACIACROSS_TICKETS_TICKETSTATE_H

namespace acaciacross::tickets {

/// What is known of a ticket when it is presented.
enum class TicketState {
  /// Not used before; it is now marked as executing.
  Accepted,
  Executing,
  /// Its outcome is stored.
  Finished,
  /// Past its expiry, without a record: it may have been used.
  Expired,
  /// Another VM or another incarnation issued it.
  OwnedElsewhere,
  /// Not used before, and there is no room to record its use.
  TableFull,
  /// Not made by this issuer, or altered.
  Altered,
};

} // namespace acaciacross::tickets

#endif
