#ifndef ACACIACROSS_FRONTEND_JSONCODEC_H
#define ACACIACROSS_FRONTEND_JSONCODEC_H

#include "Control/AuditEntry.h"
#include "Frontend/CallerRequest.h"
#include "Frontend/DecodeError.h"
#include "Frontend/HttpResponse.h"
#include "Routing/AddressCandidate.h"
#include "Traffic/TicketReply.h"
#include "Traffic/TrafficReply.h"
#include "Traffic/TrafficRequest.h"

#include <chrono>
#include <span>
#include <variant>

namespace acaciacross::frontend {

/// Decodes the JSON requests of callers and encodes the JSON responses to
/// callers and operators.
class JsonCodec {
public:
  static std::variant<traffic::TrafficRequest, DecodeError>
  decodeQuery(const CallerRequest &Request);

  static std::variant<common::ClassName, DecodeError>
  decodeTicketRequest(const CallerRequest &Request);

  static HttpResponse encodeReply(const common::RequestId &Id,
                                  const traffic::TrafficReply &Reply);

  static HttpResponse encodeRefusal(const common::RequestId &Id,
                                    common::ResultCode Code);

  static HttpResponse encodeTicket(const traffic::TicketReply &Reply);

  static HttpResponse
  encodeAddresses(std::span<const routing::AddressCandidate> Addresses,
                  std::chrono::milliseconds Validity);

  static HttpResponse encodeAudit(std::span<const control::AuditEntry> Entries);
};

} // namespace acaciacross::frontend

#endif
