#include "Tickets/Ticket.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <limits>

namespace acaciacross::tickets {

namespace {

constexpr std::string_view Version = "t1";
constexpr char Separator = '~';
constexpr std::size_t FieldCount = 8;
constexpr std::size_t MaxTextLength = 1024;
constexpr std::string_view HexDigits = "0123456789abcdef";

bool isUnreserved(char Byte) {
  const bool IsAlphanumeric =
      std::isalnum(static_cast<unsigned char>(Byte)) != 0;
  return IsAlphanumeric || Byte == '-' || Byte == '_' || Byte == '.';
}

// Names from documents may contain any character, including the separator.
std::string escape(const std::string &Text) {
  std::string Escaped;
  for (const char Byte : Text) {
    if (isUnreserved(Byte)) {
      Escaped += Byte;
      continue;
    }
    const auto Number = static_cast<unsigned char>(Byte);
    Escaped += '%';
    Escaped += HexDigits[Number >> 4U];
    Escaped += HexDigits[Number & 15U];
  }
  return Escaped;
}

std::string unescape(std::string_view Text) {
  std::string Unescaped;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] != '%' || I + 2 >= Text.size()) {
      Unescaped += Text[I];
      continue;
    }
    const std::size_t High = HexDigits.find(Text[I + 1]);
    const std::size_t Low = HexDigits.find(Text[I + 2]);
    if (High == std::string_view::npos || Low == std::string_view::npos)
      return {};
    Unescaped += static_cast<char>(High * 16 + Low);
    I += 2;
  }
  return Unescaped;
}

bool parseNumber(std::string_view Text, int Base, std::uint64_t &Number) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number, Base);
  return Parsed.ec == std::errc() && Parsed.ptr == End;
}

std::string toHex(std::uint64_t Number) {
  std::array<char, 16> Digits{};
  const auto End =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Number, 16);
  return {Digits.data(), End.ptr};
}

std::optional<std::array<std::string_view, FieldCount>>
split(std::string_view Text) {
  std::array<std::string_view, FieldCount> Fields;
  for (std::size_t I = 0; I + 1 < FieldCount; ++I) {
    const std::size_t End = Text.find(Separator);
    if (End == std::string_view::npos)
      return std::nullopt;
    Fields[I] = Text.substr(0, End);
    Text.remove_prefix(End + 1);
  }
  Fields.back() = Text;
  return Fields;
}

} // namespace

std::string Ticket::toString() const {
  const std::array<std::string, FieldCount> Fields = {
      std::string(Version),
      toHex(this->Issuer.Value),
      toHex(this->Sequence),
      std::to_string(this->Expiry.count()),
      toHex(this->AuthenticationCode),
      this->Owner.toString(),
      escape(this->Class.Value),
      escape(this->Vm.Value)};
  std::string Text = Fields[0];
  for (std::size_t I = 1; I < FieldCount; ++I)
    Text += Separator + Fields[I];
  return Text;
}

std::optional<Ticket> Ticket::parse(std::string_view Text) {
  const auto Fields = split(Text.substr(0, MaxTextLength));
  if (!Fields)
    return std::nullopt;
  Ticket Result;
  std::uint64_t Expiry = 0;
  const bool IsNumeric =
      parseNumber((*Fields)[1], 16, Result.Issuer.Value) &&
      parseNumber((*Fields)[2], 16, Result.Sequence) &&
      parseNumber((*Fields)[3], 10, Expiry) &&
      parseNumber((*Fields)[4], 16, Result.AuthenticationCode);
  const auto Owner = common::Address::parse((*Fields)[5]);
  const bool IsExpiryInRange =
      Expiry <= std::uint64_t{std::numeric_limits<std::int32_t>::max()} * 1000;
  if (!IsNumeric || !Owner || !IsExpiryInRange)
    return std::nullopt;
  Result.Owner = *Owner;
  Result.Expiry = std::chrono::milliseconds(Expiry);
  Result.Class = common::ClassName(unescape((*Fields)[6]));
  Result.Vm = common::VmId(unescape((*Fields)[7]));
  // Each ticket has exactly one text form; other spellings are rejected.
  if (Result.toString() != Text)
    return std::nullopt;
  return Result;
}

} // namespace acaciacross::tickets
