#ifndef ACACIACROSS_COMMON_ADDRESS_H
#define ACACIACROSS_COMMON_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace acaciacross::common {

/// An IP number and a port.
struct Address {
  std::string Host;
  std::uint16_t Port = 0;

  auto operator<=>(const Address &) const = default;

  /// "host:port".
  std::string toString() const;

  /// Parses "a.b.c.d:port"; empty when the host is no IPv4 number or the port
  /// is 0 or out of range.
  static std::optional<Address> parse(std::string_view Text);
};

} // namespace acaciacross::common

#endif
