#ifndef ACACIACROSS_COMMON_LOGEVENT_H
#define ACACIACROSS_COMMON_LOGEVENT_H

#include <cstdint>
#include <span>
#include <string_view>

namespace acaciacross::common {

/// Numbered log events, which docs/EVENTS.md describes. The hundreds digit
/// gives the group: 1xx process, 2xx configuration, 3xx fleet, 4xx upstreams,
/// 5xx requests, 6xx messages and clients. Numbers are not reused.
enum class LogEvent : std::uint16_t {
  ProcessStarted = 100,
  ProcessStopping = 101,
  ProcessStopped = 102,
  PauseDetected = 103,
  SettingsRefused = 104,
  ControlTaskFailed = 105,
  SettingsReloaded = 106,
  LogLinesDropped = 107,
  CallersFinished = 108,

  ConfigurationAccepted = 200,
  ConfigurationRefused = 201,
  ConfigurationServiceUnavailable = 202,
  ConfigurationServiceStale = 203,
  ConfigurationPulled = 204,
  ReaderChanged = 205,
  StoreUnavailable = 206,
  StoreAvailable = 207,
  HistoryLost = 208,
  StoreCallFailed = 209,
  StoreAnswered = 210,
  ConfigurationPullFailed = 211,
  TableInUse = 212,
  TableReleased = 213,
  StoreEraChanged = 214,
  StoreEraInvalid = 215,

  PeerJoined = 300,
  PeerLeaving = 301,
  PeerLost = 302,
  PeerRestarted = 303,
  VmListUnavailable = 304,
  VmIdDuplicate = 305,
  CallersPlaced = 306,

  SearcherEjected = 400,
  SearcherRestored = 401,
  SearcherLeaving = 402,
  SearcherWarming = 403,
  EjectionSuppressed = 404,
  ConnectionQuotaZero = 405,
  SearcherReturned = 406,
  SearcherListed = 407,
  SearcherUnlisted = 408,
  EntryMalformed = 409,
  SearcherPaused = 410,
  ResponseHeaderInvalid = 411,
  ResponseBuffersFull = 412,
  DomainEvacuated = 413,
  DomainEvacuationEnded = 414,
  SearcherCold = 416,
  SearcherWarm = 417,

  RequestRefused = 500,
  RequestFailed = 501,
  ReplyDiscarded = 502,
  SnapshotRestarted = 503,
  RequestAnswered = 504,
  RequestPartial = 505,
  RequestAbandoned = 506,
  AttemptEnded = 507,

  MessageDropped = 600,
  ClientMemoryShort = 610,
  AcceptPaused = 611,
  AcceptResumed = 612,
  ClientsTooSlow = 613,
  RequestsOversized = 614,
  MemoryReturned = 615,
};

/// Returns the name of the enumerator, or "Unknown" for other numbers.
std::string_view logEventName(LogEvent Event);

/// All events in ascending order.
std::span<const LogEvent> allLogEvents();

} // namespace acaciacross::common

#endif
