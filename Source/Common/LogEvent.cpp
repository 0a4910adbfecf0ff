#include "Common/LogEvent.h"

#include <array>

namespace acaciacross::common {

namespace {

constexpr std::array AllEvents = {
    LogEvent::ProcessStarted,
    LogEvent::ProcessStopping,
    LogEvent::ProcessStopped,
    LogEvent::PauseDetected,
    LogEvent::SettingsRefused,
    LogEvent::ControlTaskFailed,
    LogEvent::SettingsReloaded,
    LogEvent::LogLinesDropped,
    LogEvent::CallersFinished,
    LogEvent::ConfigurationAccepted,
    LogEvent::ConfigurationRefused,
    LogEvent::ConfigurationServiceUnavailable,
    LogEvent::ConfigurationServiceStale,
    LogEvent::ConfigurationPulled,
    LogEvent::ReaderChanged,
    LogEvent::StoreUnavailable,
    LogEvent::StoreAvailable,
    LogEvent::HistoryLost,
    LogEvent::StoreCallFailed,
    LogEvent::StoreAnswered,
    LogEvent::ConfigurationPullFailed,
    LogEvent::TableInUse,
    LogEvent::TableReleased,
    LogEvent::StoreEraChanged,
    LogEvent::StoreEraInvalid,
    LogEvent::PeerJoined,
    LogEvent::PeerLeaving,
    LogEvent::PeerLost,
    LogEvent::PeerRestarted,
    LogEvent::VmListUnavailable,
    LogEvent::VmIdDuplicate,
    LogEvent::CallersPlaced,
    LogEvent::SearcherEjected,
    LogEvent::SearcherRestored,
    LogEvent::SearcherLeaving,
    LogEvent::SearcherWarming,
    LogEvent::EjectionSuppressed,
    LogEvent::ConnectionQuotaZero,
    LogEvent::SearcherReturned,
    LogEvent::SearcherListed,
    LogEvent::SearcherUnlisted,
    LogEvent::EntryMalformed,
    LogEvent::SearcherPaused,
    LogEvent::ResponseHeaderInvalid,
    LogEvent::ResponseBuffersFull,
    LogEvent::DomainEvacuated,
    LogEvent::DomainEvacuationEnded,
    LogEvent::SearcherCold,
    LogEvent::SearcherWarm,
    LogEvent::RequestRefused,
    LogEvent::RequestFailed,
    LogEvent::ReplyDiscarded,
    LogEvent::SnapshotRestarted,
    LogEvent::RequestAnswered,
    LogEvent::RequestPartial,
    LogEvent::RequestAbandoned,
    LogEvent::AttemptEnded,
    LogEvent::MessageDropped,
    LogEvent::ClientMemoryShort,
    LogEvent::AcceptPaused,
    LogEvent::AcceptResumed,
    LogEvent::ClientsTooSlow,
    LogEvent::RequestsOversized,
    LogEvent::MemoryReturned,
};

} // namespace

std::string_view logEventName(LogEvent Event) {
  switch (Event) {
  case LogEvent::ProcessStarted:
    return "ProcessStarted";
  case LogEvent::ProcessStopping:
    return "ProcessStopping";
  case LogEvent::ProcessStopped:
    return "ProcessStopped";
  case LogEvent::PauseDetected:
    return "PauseDetected";
  case LogEvent::SettingsRefused:
    return "SettingsRefused";
  case LogEvent::ControlTaskFailed:
    return "ControlTaskFailed";
  case LogEvent::SettingsReloaded:
    return "SettingsReloaded";
  case LogEvent::LogLinesDropped:
    return "LogLinesDropped";
  case LogEvent::CallersFinished:
    return "CallersFinished";
  case LogEvent::ConfigurationAccepted:
    return "ConfigurationAccepted";
  case LogEvent::ConfigurationRefused:
    return "ConfigurationRefused";
  case LogEvent::ConfigurationServiceUnavailable:
    return "ConfigurationServiceUnavailable";
  case LogEvent::ConfigurationServiceStale:
    return "ConfigurationServiceStale";
  case LogEvent::ConfigurationPulled:
    return "ConfigurationPulled";
  case LogEvent::ReaderChanged:
    return "ReaderChanged";
  case LogEvent::StoreUnavailable:
    return "StoreUnavailable";
  case LogEvent::StoreAvailable:
    return "StoreAvailable";
  case LogEvent::HistoryLost:
    return "HistoryLost";
  case LogEvent::StoreCallFailed:
    return "StoreCallFailed";
  case LogEvent::StoreAnswered:
    return "StoreAnswered";
  case LogEvent::ConfigurationPullFailed:
    return "ConfigurationPullFailed";
  case LogEvent::TableInUse:
    return "TableInUse";
  case LogEvent::TableReleased:
    return "TableReleased";
  case LogEvent::StoreEraChanged:
    return "StoreEraChanged";
  case LogEvent::StoreEraInvalid:
    return "StoreEraInvalid";
  case LogEvent::PeerJoined:
    return "PeerJoined";
  case LogEvent::PeerLeaving:
    return "PeerLeaving";
  case LogEvent::PeerLost:
    return "PeerLost";
  case LogEvent::PeerRestarted:
    return "PeerRestarted";
  case LogEvent::VmListUnavailable:
    return "VmListUnavailable";
  case LogEvent::VmIdDuplicate:
    return "VmIdDuplicate";
  case LogEvent::CallersPlaced:
    return "CallersPlaced";
  case LogEvent::SearcherEjected:
    return "SearcherEjected";
  case LogEvent::SearcherRestored:
    return "SearcherRestored";
  case LogEvent::SearcherLeaving:
    return "SearcherLeaving";
  case LogEvent::SearcherWarming:
    return "SearcherWarming";
  case LogEvent::EjectionSuppressed:
    return "EjectionSuppressed";
  case LogEvent::ConnectionQuotaZero:
    return "ConnectionQuotaZero";
  case LogEvent::SearcherReturned:
    return "SearcherReturned";
  case LogEvent::SearcherListed:
    return "SearcherListed";
  case LogEvent::SearcherUnlisted:
    return "SearcherUnlisted";
  case LogEvent::EntryMalformed:
    return "EntryMalformed";
  case LogEvent::SearcherPaused:
    return "SearcherPaused";
  case LogEvent::ResponseHeaderInvalid:
    return "ResponseHeaderInvalid";
  case LogEvent::ResponseBuffersFull:
    return "ResponseBuffersFull";
  case LogEvent::DomainEvacuated:
    return "DomainEvacuated";
  case LogEvent::DomainEvacuationEnded:
    return "DomainEvacuationEnded";
  case LogEvent::SearcherCold:
    return "SearcherCold";
  case LogEvent::SearcherWarm:
    return "SearcherWarm";
  case LogEvent::RequestRefused:
    return "RequestRefused";
  case LogEvent::RequestFailed:
    return "RequestFailed";
  case LogEvent::ReplyDiscarded:
    return "ReplyDiscarded";
  case LogEvent::SnapshotRestarted:
    return "SnapshotRestarted";
  case LogEvent::RequestAnswered:
    return "RequestAnswered";
  case LogEvent::RequestPartial:
    return "RequestPartial";
  case LogEvent::RequestAbandoned:
    return "RequestAbandoned";
  case LogEvent::AttemptEnded:
    return "AttemptEnded";
  case LogEvent::MessageDropped:
    return "MessageDropped";
  case LogEvent::ClientMemoryShort:
    return "ClientMemoryShort";
  case LogEvent::AcceptPaused:
    return "AcceptPaused";
  case LogEvent::AcceptResumed:
    return "AcceptResumed";
  case LogEvent::ClientsTooSlow:
    return "ClientsTooSlow";
  case LogEvent::RequestsOversized:
    return "RequestsOversized";
  case LogEvent::MemoryReturned:
    return "MemoryReturned";
  }
  return "Unknown";
}

std::span<const LogEvent> allLogEvents() { return AllEvents; }

} // namespace acaciacross::common
