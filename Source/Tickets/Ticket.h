#ifndef ACACIACROSS_TICKETS_TICKET_H
#define ACACIACROSS_TICKETS_TICKET_H

#include "Common/Address.h"
#include "Common/Identifiers.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciacross::tickets {

/// Right to run one request once, on the process that issued it.
struct Ticket {
  common::VmId Vm;
  /// Where callers reach the issuer.
  common::Address Owner;
  common::Incarnation Issuer;
  common::ClassName Class;
  std::uint64_t Sequence = 0;
  /// Since the start of the issuing process; needs no agreement on clocks.
  std::chrono::milliseconds Expiry{0};
  /// Made by the issuer over the other fields; detects altered tickets.
  std::uint64_t Check = 0;

  bool operator==(const Ticket &) const = default;

  /// Printable ASCII without spaces.
  std::string toString() const;

  /// Empty when the text is not one that toString makes.
  static std::optional<Ticket> parse(std::string_view Text);
};

} // namespace acaciacross::tickets

#endif
