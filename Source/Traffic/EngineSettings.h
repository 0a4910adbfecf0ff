#ifndef ACACIACROSS_TRAFFIC_ENGINESETTINGS_H
#define ACACIACROSS_TRAFFIC_ENGINESETTINGS_H

#include "Common/Identifiers.h"
#include "Limits/AdaptiveLimitSettings.h"
#include "Tickets/IssuerIdentity.h"
#include "Tickets/TicketTableLimits.h"

#include <chrono>
#include <cstdint>

namespace acaciacross::traffic {

/// What a service's traffic thread is started with.
struct EngineSettings {
  common::ServiceName Service;
  tickets::IssuerIdentity Identity;
  /// First number of this thread's attempts and tickets; the threads of a
  /// process have ranges of their own.
  std::uint64_t FirstSequence = 0;
  std::uint64_t RandomSeed = 0;

  std::chrono::milliseconds TicketValidity = std::chrono::minutes(1);
  tickets::TicketTableLimits TicketLimits;
  /// Bounds of the queries that run at the same time, where the targets of the
  /// classes do not determine them.
  limits::AdaptiveLimitSettings Admission;
};

} // namespace acaciacross::traffic

#endif
