#include "Common/ResultCode.h"

#include <array>

namespace acaciacross::common {

namespace {

constexpr std::array AllCodes = {
    ResultCode::Ok,
    ResultCode::PartialCoverage,
    ResultCode::MalformedRequest,
    ResultCode::RequestTooLarge,
    ResultCode::UnknownClass,
    ResultCode::UnknownService,
    ResultCode::TicketRequired,
    ResultCode::TicketMalformed,
    ResultCode::TicketTableFull,
    ResultCode::Overloaded,
    ResultCode::DeadlineTooShort,
    ResultCode::NotServing,
    ResultCode::NoUsableSnapshot,
    ResultCode::NoUsableReplica,
    ResultCode::RequestTooSlow,
    ResultCode::NotFound,
    ResultCode::DeadlinePassed,
    ResultCode::AttemptLost,
    ResultCode::TicketInProgress,
    ResultCode::TicketOwnedElsewhere,
    ResultCode::TicketExpired,
    ResultCode::Interrupted,
    ResultCode::SettingInvalid,
    ResultCode::DocumentInvalid,
    ResultCode::DocumentStale,
    ResultCode::PlatformUnavailable,
    ResultCode::PeerMessageInvalid,
    ResultCode::SocketFailed,
    ResultCode::InternalError,
};

} // namespace

std::string_view resultCodeName(ResultCode Code) {
  switch (Code) {
  case ResultCode::Ok:
    return "Ok";
  case ResultCode::PartialCoverage:
    return "PartialCoverage";
  case ResultCode::MalformedRequest:
    return "MalformedRequest";
  case ResultCode::RequestTooLarge:
    return "RequestTooLarge";
  case ResultCode::UnknownClass:
    return "UnknownClass";
  case ResultCode::UnknownService:
    return "UnknownService";
  case ResultCode::TicketRequired:
    return "TicketRequired";
  case ResultCode::TicketMalformed:
    return "TicketMalformed";
  case ResultCode::TicketTableFull:
    return "TicketTableFull";
  case ResultCode::Overloaded:
    return "Overloaded";
  case ResultCode::DeadlineTooShort:
    return "DeadlineTooShort";
  case ResultCode::NotServing:
    return "NotServing";
  case ResultCode::NoUsableSnapshot:
    return "NoUsableSnapshot";
  case ResultCode::NoUsableReplica:
    return "NoUsableReplica";
  case ResultCode::RequestTooSlow:
    return "RequestTooSlow";
  case ResultCode::NotFound:
    return "NotFound";
  case ResultCode::DeadlinePassed:
    return "DeadlinePassed";
  case ResultCode::AttemptLost:
    return "AttemptLost";
  case ResultCode::TicketInProgress:
    return "TicketInProgress";
  case ResultCode::TicketOwnedElsewhere:
    return "TicketOwnedElsewhere";
  case ResultCode::TicketExpired:
    return "TicketExpired";
  case ResultCode::Interrupted:
    return "Interrupted";
  case ResultCode::SettingInvalid:
    return "SettingInvalid";
  case ResultCode::DocumentInvalid:
    return "DocumentInvalid";
  case ResultCode::DocumentStale:
    return "DocumentStale";
  case ResultCode::PlatformUnavailable:
    return "PlatformUnavailable";
  case ResultCode::PeerMessageInvalid:
    return "PeerMessageInvalid";
  case ResultCode::SocketFailed:
    return "SocketFailed";
  case ResultCode::InternalError:
    return "InternalError";
  }
  return "Unknown";
}

std::span<const ResultCode> allResultCodes() { return AllCodes; }

} // namespace acaciacross::common
