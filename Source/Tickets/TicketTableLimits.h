#ifndef ACACIACROSS_TICKETS_TICKETTABLELIMITS_H
#define ACACIACROSS_TICKETS_TICKETTABLELIMITS_H

#include <chrono>
#include <cstddef>

namespace acaciacross::tickets {

/// Bounds of the table of used tickets.
struct TicketTableLimits {
  /// Used tickets kept at a time. At 50 bookings/s, validity and retention
  /// together hold 18,000.
  std::size_t MaxRecords = 20'000;
  /// Bodies of stored outcomes together.
  std::size_t MaxStoredBytes = std::size_t{32} << 20;
  /// How long an outcome is kept after its ticket's expiry.
  std::chrono::milliseconds Retention = std::chrono::minutes(5);
};

} // namespace acaciacross::tickets

#endif
