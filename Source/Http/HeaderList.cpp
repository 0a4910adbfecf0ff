#include "Http/HeaderList.h"

#include <algorithm>
#include <array>
#include <utility>

namespace acaciacross::http {

namespace {

// RFC 9110, 7.6.1, with the framing fields, which are written anew.
constexpr std::array<std::string_view, 11> ConnectionFields = {
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

char lower(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter - 'A' + 'a')
                                        : Letter;
}

/// Whether a comma-separated list of names has that one.
bool listHas(std::string_view List, std::string_view Name) {
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
  for (const Header &Each : this->Fields)
    if (equalNames(Each.Name, Name))
      return &Each.Value;
  return nullptr;
}

HeaderList HeaderList::endToEnd() const {
  HeaderList Kept;
  for (const Header &Each : this->Fields)
    if (!this->isConnectionField(Each.Name))
      Kept.Fields.push_back(Each);
  return Kept;
}

bool HeaderList::isConnectionField(std::string_view Name) const {
  const bool IsStandard =
      std::ranges::any_of(ConnectionFields, [&](std::string_view Field) {
        return equalNames(Field, Name);
      });
  return IsStandard || std::ranges::any_of(this->Fields, [&](const auto &Each) {
           return equalNames(Each.Name, "Connection") &&
                  listHas(Each.Value, Name);
         });
}

const std::vector<Header> &HeaderList::fields() const { return this->Fields; }

bool HeaderList::equalNames(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, [](char First, char Second) {
    return lower(First) == lower(Second);
  });
}

} // namespace acaciacross::http
