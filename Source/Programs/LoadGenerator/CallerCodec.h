#ifndef ACACIACROSS_PROGRAMS_LOADGENERATOR_CALLERCODEC_H
#define ACACIACROSS_PROGRAMS_LOADGENERATOR_CALLERCODEC_H

#include "Common/Address.h"
#include "Programs/LoadGenerator/CallerAnswer.h"

#include <chrono>
#include <vector>

namespace acaciacross::loadgenerator {

/// Encodes and decodes the JSON that callers exchange with entry VMs.
class CallerCodec {
public:
  struct AddressAnswer {
    std::vector<common::Address> Addresses;
    std::chrono::milliseconds Validity{0};
  };

  static std::string encodeTicketRequest(const std::string &Class);
  /// Omits the member "ticket" when Ticket is empty.
  static std::string encodeQuery(const std::string &Id,
                                 const std::string &Class,
                                 std::chrono::milliseconds Deadline,
                                 const std::string &Ticket);

  /// The decoders return an empty optional when the text is not such a
  /// response.
  static std::optional<AddressAnswer> decodeAddresses(const std::string &Text);
  static std::optional<std::string> decodeTicket(const std::string &Text);
  static std::optional<CallerAnswer> decodeAnswer(const std::string &Text);
};

} // namespace acaciacross::loadgenerator

#endif
