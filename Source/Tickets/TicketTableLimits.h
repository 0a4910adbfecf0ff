#ifndef ACACIACROSS_TICKETS_TICKETTABLELIMITS_H
#define ACACIACROSS_TICKETS_TICKETTABLELIMITS_H

#include <chrono>
#include <cstddef>

namespace acaciacross::tickets {

/// Limits of the table of used tickets.
struct TicketTableLimits {
  /// Records of used tickets at a time. With 50 tickets used per second, 18,000
  /// are within their validity and retention.
  std::size_t MaxRecords = 20'000;
  /// Size of the bodies of all stored outcomes.
  std::size_t MaxStoredBytes = std::size_t{32} << 20;
  /// Time that an outcome is kept after the expiry of its ticket.
  std::chrono::milliseconds Retention = std::chrono::minutes(5);
};

} // namespace acaciacross::tickets

#endif
