#include "Common/AttemptId.h"

#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace acaciacross::common {

namespace {

/// Whether the whole text is an integer of that base, which Value then holds.
bool parseInteger(std::string_view Text, int Base, std::uint64_t &Value) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Value, Base);
  return Parsed.ec == std::errc() && Parsed.ptr == End;
}

} // namespace

std::string AttemptId::toString() const {
  char Text[48];
  std::snprintf(Text, sizeof(Text), "%016" PRIx64 "-%" PRIu64,
                this->Issuer.Value, this->Sequence);
  return Text;
}

std::optional<AttemptId> AttemptId::parse(std::string_view Text) {
  const std::size_t Dash = Text.find('-');
  if (Dash == std::string_view::npos)
    return std::nullopt;
  AttemptId Id;
  if (!parseInteger(Text.substr(0, Dash), 16, Id.Issuer.Value))
    return std::nullopt;
  if (!parseInteger(Text.substr(Dash + 1), 10, Id.Sequence))
    return std::nullopt;
  return Id;
}

} // namespace acaciacross::common
