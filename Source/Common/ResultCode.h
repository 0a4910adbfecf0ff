#ifndef ACACIACROSS_COMMON_RESULTCODE_H
#define ACACIACROSS_COMMON_RESULTCODE_H

#include <cstdint>
#include <span>
#include <string_view>

namespace acaciacross::common {

/// Numbered results, which docs/RESULT_CODES.md describes. The hundreds digit
/// gives the group: 0 answered, 1xx refused (not run), 2xx failed (may have
/// run), 3xx settings and documents, 4xx system. Numbers are not reused.
enum class ResultCode : std::uint16_t {
  Ok = 0,
  PartialCoverage = 1,

  MalformedRequest = 100,
  RequestTooLarge = 101,
  UnknownClass = 102,
  UnknownService = 103,
  TicketRequired = 104,
  TicketMalformed = 105,
  TicketTableFull = 106,
  Overloaded = 107,
  DeadlineTooShort = 108,
  NotServing = 109,
  NoUsableSnapshot = 110,
  NoUsableReplica = 111,
  RequestTooSlow = 112,
  NotFound = 113,

  DeadlinePassed = 200,
  AttemptLost = 201,
  TicketInProgress = 202,
  TicketOwnedElsewhere = 203,
  TicketExpired = 204,
  Interrupted = 205,

  SettingInvalid = 300,
  DocumentInvalid = 301,
  DocumentStale = 302,

  PlatformUnavailable = 400,
  PeerMessageInvalid = 401,
  SocketFailed = 402,
  InternalError = 403,
};

/// Returns the name of the enumerator, or "Unknown" for other numbers.
std::string_view resultCodeName(ResultCode Code);

/// All codes in ascending order.
std::span<const ResultCode> allResultCodes();

} // namespace acaciacross::common

#endif
