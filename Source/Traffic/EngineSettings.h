#ifndef ACACIACROSS_TRAFFIC_ENGINESETTINGS_H
#define ACACIACROSS_TRAFFIC_ENGINESETTINGS_H

#include "Common/Identifiers.h"
#include "Limits/AdaptiveLimitSettings.h"
#include "Tickets/IssuerIdentity.h"
#include "Tickets/TicketTableLimits.h"

#include <chrono>
#include <cstdint>

namespace acaciacross::traffic {

/// Settings of the traffic thread of a service.
struct EngineSettings {
  common::ServiceName Service;
  tickets::IssuerIdentity Identity;
  /// First sequence number of this thread's attempts and tickets. Each thread
  /// of a process has its own range.
  std::uint64_t FirstSequence = 0;
  std::uint64_t RandomSeed = 0;

  std::chrono::milliseconds TicketValidity = std::chrono::minutes(1);
  tickets::TicketTableLimits TicketLimits;
  /// Bounds of the number of concurrent queries, used where the targets of the
  /// classes do not determine them.
  limits::AdaptiveLimitSettings Admission;
};

} // namespace acaciacross::traffic

#endif
