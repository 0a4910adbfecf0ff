#include "Common/Address.h"

#include <arpa/inet.h>
#include <charconv>

namespace acaciacross::common {

std::string Address::toString() const {
  return this->Host + ":" + std::to_string(this->Port);
}

std::optional<Address> Address::parse(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;

  Address Parsed;
  Parsed.Host = std::string(Text.substr(0, Colon));
  in_addr Binary{};
  if (inet_pton(AF_INET, Parsed.Host.c_str(), &Binary) != 1)
    return std::nullopt;

  const char *End = Text.data() + Text.size();
  const auto Port = std::from_chars(Text.data() + Colon + 1, End, Parsed.Port);
  if (Port.ec != std::errc() || Port.ptr != End || Parsed.Port == 0)
    return std::nullopt;
  return Parsed;
}

} // namespace acaciacross::common
