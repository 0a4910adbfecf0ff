#include "Configuration/TomlTable.h"

#include "Configuration/ConfigurationError.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace acaciacross::configuration {

namespace {

// The configuration service stores values of up to 1 MB.
constexpr std::size_t MaxDocumentBytes = std::size_t{1} << 20;
constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxValueLengthInMessage = 80;
constexpr std::string_view AllowedName =
    "1 to 64 letters, digits, '.', '_', '-' or ':'";

std::string formatNode(const toml::node &Node) {
  std::ostringstream Text;
  Node.visit([&Text](const auto &Value) { Text << Value; });
  std::string Result = Text.str();
  std::replace(Result.begin(), Result.end(), '\n', ' ');
  if (Result.size() > MaxValueLengthInMessage)
    Result = Result.substr(0, MaxValueLengthInMessage) + "...";
  return Result;
}

template <typename Value> std::string formatNumber(Value Number) {
  std::ostringstream Text;
  Text << Number;
  return Text.str();
}

} // namespace

TomlTable::TomlTable(const TomlContext &SharedContext,
                     const toml::table &Contents, std::string FullKey)
    : Context(&SharedContext), Table(&Contents), Path(std::move(FullKey)) {}

toml::table TomlTable::parse(const TomlContext &SharedContext,
                             const std::string &Text) {
  if (Text.size() > MaxDocumentBytes)
    throw ConfigurationError(SharedContext.Code, SharedContext.Source, 1,
                             "(document)",
                             std::to_string(Text.size()) + " bytes",
                             "at most " + std::to_string(MaxDocumentBytes));
  try {
    return toml::parse(std::string_view(Text));
  } catch (const toml::parse_error &Error) {
    throw ConfigurationError(SharedContext.Code, SharedContext.Source,
                             Error.source().begin.line, "(document)",
                             "(not TOML)", std::string(Error.description()));
  }
}

void TomlTable::rejectUnknownKeys(
    std::initializer_list<std::string_view> AllowedKeys) const {
  std::string KeyList;
  for (const std::string_view Name : AllowedKeys)
    KeyList += (KeyList.empty() ? "" : ", ") + std::string(Name);
  for (const auto &[Key, Node] : *this->Table) {
    const bool IsKnown = std::find(AllowedKeys.begin(), AllowedKeys.end(),
                                   Key.str()) != AllowedKeys.end();
    if (!IsKnown)
      this->throwError(Key.str(), formatNode(Node), Key.source().begin.line,
                       "unknown key; allowed here are " + KeyList);
  }
}

std::string TomlTable::name(std::string_view Key) const {
  const std::string Allowed(AllowedName);
  const auto Value = this->node(Key, Allowed).value_exact<std::string>();
  if (!Value || !TomlTable::isName(*Value))
    this->throwError(Key, Allowed);
  return *Value;
}

common::Address TomlTable::address(std::string_view Key) const {
  const std::string Allowed = "an IPv4 address and a port, \"a.b.c.d:port\"";
  const auto Value = this->node(Key, Allowed).value_exact<std::string>();
  const auto Parsed = Value ? common::Address::parse(*Value) : std::nullopt;
  if (!Parsed)
    this->throwError(Key, Allowed);
  return *Parsed;
}

std::int64_t TomlTable::integer(std::string_view Key, std::int64_t Min,
                                std::int64_t Max) const {
  const std::string Allowed =
      "an integer from " + std::to_string(Min) + " to " + std::to_string(Max);
  const auto Value = this->node(Key, Allowed).value_exact<std::int64_t>();
  if (!Value || *Value < Min || *Value > Max)
    this->throwError(Key, Allowed);
  return *Value;
}

double TomlTable::number(std::string_view Key, double Min, double Max) const {
  const std::string Allowed =
      "a number from " + formatNumber(Min) + " to " + formatNumber(Max);
  const toml::node &Node = this->node(Key, Allowed);
  const auto Value = Node.is_number() ? Node.value<double>() : std::nullopt;
  // Negated so that NaN is rejected.
  if (!Value || !(*Value >= Min && *Value <= Max))
    this->throwError(Key, Allowed);
  return *Value;
}

bool TomlTable::boolean(std::string_view Key) const {
  const std::string Allowed = "true or false";
  const auto Value = this->node(Key, Allowed).value_exact<bool>();
  if (!Value)
    this->throwError(Key, Allowed);
  return *Value;
}

TomlTable TomlTable::table(std::string_view Key) const {
  const std::string Allowed = "a table";
  const toml::node &Node = this->node(Key, Allowed);
  if (!Node.is_table())
    this->throwError(Key, Allowed);
  return TomlTable(*this->Context, *Node.as_table(), this->fullKey(Key));
}

std::vector<TomlTable> TomlTable::tables() const {
  std::vector<TomlTable> Tables;
  for (const auto &[Key, Node] : *this->Table) {
    if (!TomlTable::isName(Key.str()))
      this->throwError(Key.str(), "a name of " + std::string(AllowedName));
    Tables.push_back(this->table(Key.str()));
  }
  if (Tables.empty())
    this->throwError("", "(empty)", this->Table->source().begin.line,
                     "at least one table");
  return Tables;
}

std::vector<TomlTable> TomlTable::tableArray(std::string_view Key) const {
  const std::string Allowed = "an array of tables, at least one";
  const toml::array *Array = this->node(Key, Allowed).as_array();
  if (Array == nullptr || Array->empty())
    this->throwError(Key, Allowed);
  std::vector<TomlTable> Tables;
  for (const toml::node &Element : *Array) {
    if (!Element.is_table())
      this->throwError(Key, Allowed);
    const std::string Index = "[" + std::to_string(Tables.size()) + "]";
    Tables.emplace_back(*this->Context, *Element.as_table(),
                        this->fullKey(Key) + Index);
  }
  return Tables;
}

std::vector<std::string> TomlTable::strings(std::string_view Key) const {
  const std::string Allowed = "an array of strings";
  const toml::array *Array = this->node(Key, Allowed).as_array();
  if (Array == nullptr)
    this->throwError(Key, Allowed);
  std::vector<std::string> Strings;
  for (const toml::node &Element : *Array) {
    const auto Value = Element.value_exact<std::string>();
    if (!Value)
      this->throwError(Key, Allowed);
    Strings.push_back(*Value);
  }
  return Strings;
}

std::string TomlTable::lastKey() const {
  // Names may contain dots, so the path is split at the first one, not the
  // last.
  const std::size_t Dot = this->Path.find('.');
  return Dot == std::string::npos ? this->Path : this->Path.substr(Dot + 1);
}

void TomlTable::throwError(std::string_view Key,
                           const std::string &Allowed) const {
  const toml::node *Node = this->Table->get(Key);
  if (Node == nullptr)
    this->throwError(Key, "(missing)", this->Table->source().begin.line,
                     Allowed);
  this->throwError(Key, formatNode(*Node), Node->source().begin.line, Allowed);
}

bool TomlTable::isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameLength &&
         std::all_of(Text.begin(), Text.end(), [](unsigned char Letter) {
           return std::isalnum(Letter) != 0 || Letter == '.' || Letter == '_' ||
                  Letter == '-' || Letter == ':';
         });
}

const toml::node &TomlTable::node(std::string_view Key,
                                  const std::string &Allowed) const {
  const toml::node *Node = this->Table->get(Key);
  if (Node == nullptr)
    this->throwError(Key, Allowed);
  return *Node;
}

std::string TomlTable::fullKey(std::string_view Key) const {
  if (this->Path.empty() || Key.empty())
    return this->Path + std::string(Key);
  return this->Path + "." + std::string(Key);
}

void TomlTable::throwError(std::string_view Key, const std::string &Value,
                           std::uint32_t Line,
                           const std::string &Allowed) const {
  throw ConfigurationError(this->Context->Code, this->Context->Source, Line,
                           this->fullKey(Key), Value, Allowed);
}

} // namespace acaciacross::configuration
