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

/// Permission to run one request once, on the process that issued the ticket.
struct Ticket {
  common::VmId Vm;
  /// Address at which callers reach the issuer.
  common::Address Owner;
  common::Incarnation Issuer;
  common::ClassName Class;
  std::uint64_t Sequence = 0;
  /// Time since the start of the issuing process, so that clocks of different
  /// VMs need not agree.
  std::chrono::milliseconds Expiry{0};
  /// Keyed hash of the other fields, computed by the issuer; detects altered
  /// tickets.
  std::uint64_t AuthenticationCode = 0;

  bool operator==(const Ticket &) const = default;

  /// Text form of the ticket in printable ASCII without spaces.
  std::string toString() const;

  /// Empty when the text is not one that toString returns.
  static std::optional<Ticket> parse(std::string_view Text);
};

} // namespace acaciacross::tickets

#endif
