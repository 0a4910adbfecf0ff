#ifndef ACACIACROSS_COMMON_ADDRESS_H
#define ACACIACROSS_COMMON_ADDRESS_H

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace acaciacross::common {

/// An IPv4 address and a port.
struct Address {
  std::string Host;
  std::uint16_t Port = 0;

  bool operator==(const Address &) const = default;
  // Written out, because clang-tidy 14 reports a defaulted operator.
  auto operator<=>(const Address &Other) const {
    return std::tie(this->Host, this->Port) <=>
           std::tie(Other.Host, Other.Port);
  }

  /// Returns "host:port".
  std::string toString() const;

  /// Parses "a.b.c.d:port". Empty when the host is not an IPv4 address, or when
  /// the port is 0 or out of range.
  static std::optional<Address> parse(std::string_view Text);
};

} // namespace acaciacross::common

#endif
