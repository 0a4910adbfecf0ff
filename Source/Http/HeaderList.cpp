#include "Http/HeaderList.h"

#include <algorithm>
#include <array>
#include <utility>

namespace acaciacross::http {

namespace {

// The fields of RFC 9110, section 7.6.1, and the framing fields, which are
// generated for each connection.
constexpr std::array<std::string_view, 11> ConnectionFieldNames = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authenticate",
    "Proxy-Authorization",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Expect"};

char toLower(char Character) {
  return Character >= 'A' && Character <= 'Z'
             ? static_cast<char>(Character - 'A' + 'a')
             : Character;
}

bool isTokenCharacter(char Character) {
  constexpr std::string_view Special = "!#$%&'*+-.^_`|~";
  return (Character >= 'A' && Character <= 'Z') ||
         (Character >= 'a' && Character <= 'z') ||
         (Character >= '0' && Character <= '9') ||
         Special.find(Character) != std::string_view::npos;
}

/// Whether a comma-separated list of names contains Name.
bool listContains(std::string_view List, std::string_view Name) {
  while (!List.empty()) {
    const std::size_t Comma = List.find(',');
    std::string_view Item = List.substr(0, Comma);
    List = Comma == std::string_view::npos ? std::string_view()
                                           : List.substr(Comma + 1);
    while (!Item.empty() && (Item.front() == ' ' || Item.front() == '\t'))
      Item.remove_prefix(1);
    while (!Item.empty() && (Item.back() == ' ' || Item.back() == '\t'))
      Item.remove_suffix(1);
    if (HeaderList::equalNames(Item, Name))
      return true;
  }
  return false;
}

} // namespace

void HeaderList::add(std::string Name, std::string Value) {
  this->Fields.push_back({std::move(Name), std::move(Value)});
}

const std::string *HeaderList::find(std::string_view Name) const {
  for (const Header &Entry : this->Fields)
    if (equalNames(Entry.Name, Name))
      return &Entry.Value;
  return nullptr;
}

HeaderList HeaderList::endToEndFields() const {
  HeaderList Result;
  for (const Header &Entry : this->Fields)
    if (!this->isConnectionField(Entry.Name))
      Result.Fields.push_back(Entry);
  return Result;
}

bool HeaderList::isConnectionField(std::string_view Name) const {
  const bool IsStandard =
      std::ranges::any_of(ConnectionFieldNames, [&](std::string_view Field) {
        return equalNames(Field, Name);
      });
  return IsStandard ||
         std::ranges::any_of(this->Fields, [&](const auto &Entry) {
           return equalNames(Entry.Name, "Connection") &&
                  listContains(Entry.Value, Name);
         });
}

const std::vector<Header> &HeaderList::fields() const { return this->Fields; }

bool HeaderList::isValidField(std::string_view Name, std::string_view Value) {
  return !Name.empty() && std::ranges::all_of(Name, isTokenCharacter) &&
         std::ranges::none_of(Value, [](char Character) {
           const auto Byte = static_cast<unsigned char>(Character);
           return (Byte < 0x20 && Byte != '\t') || Byte == 0x7f;
         });
}

bool HeaderList::equalNames(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, [](char First, char Second) {
    return toLower(First) == toLower(Second);
  });
}

} // namespace acaciacross::http
