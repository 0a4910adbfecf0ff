#include "Configuration/TomlTable.h"

#include "Configuration/ConfigurationError.h"

#include <algorithm>
#include <cctype>
#include <sstream>

namespace acaciacross::configuration {

namespace {

// The configuration service holds values up to 1 MB.
constexpr std::size_t MaxDocumentBytes = std::size_t{1} << 20;
constexpr std::size_t MaxNameLength = 64;
constexpr std::size_t MaxValueInMessage = 80;
constexpr std::string_view NameRule =
    "1 to 64 letters, digits, '.', '_', '-' or ':'";

std::string textOf(const toml::node &Node) {
  std::ostringstream Text;
  Node.visit([&Text](const auto &Value) { Text << Value; });
  std::string Result = Text.str();
  std::replace(Result.begin(), Result.end(), '\n', ' ');
  if (Result.size() > MaxValueInMessage)
    Result = Result.substr(0, MaxValueInMessage) + "...";
  return Result;
}

template <typename Value> std::string textOfNumber(Value Number) {
  std::ostringstream Text;
  Text << Number;
  return Text.str();
}

} // namespace

TomlTable::TomlTable(const TomlContext &Shared, const toml::table &Contents,
                     std::string FullKey)
    : Context(&Shared), Table(&Contents), Path(std::move(FullKey)) {}

toml::table TomlTable::parse(const TomlContext &Shared,
                             const std::string &Text) {
  if (Text.size() > MaxDocumentBytes)
    throw ConfigurationError(Shared.Code, Shared.Source, 1, "(document)",
                             std::to_string(Text.size()) + " bytes",
                             "at most " + std::to_string(MaxDocumentBytes));
  try {
    return toml::parse(std::string_view(Text));
  } catch (const toml::parse_error &Error) {
    throw ConfigurationError(Shared.Code, Shared.Source,
                             Error.source().begin.line, "(document)",
                             "(not TOML)", std::string(Error.description()));
  }
}

void TomlTable::allowOnly(
    std::initializer_list<std::string_view> Allowed) const {
  std::string Names;
  for (const std::string_view Name : Allowed)
    Names += (Names.empty() ? "" : ", ") + std::string(Name);
  for (const auto &[Key, Node] : *this->Table) {
    const bool IsKnown =
        std::find(Allowed.begin(), Allowed.end(), Key.str()) != Allowed.end();
    if (!IsKnown)
      this->refuse(Key.str(), textOf(Node), Key.source().begin.line,
                   "unknown key; allowed here are " + Names);
  }
}

std::string TomlTable::name(std::string_view Key) const {
  const std::string Rule(NameRule);
  const auto Value = this->node(Key, Rule).value_exact<std::string>();
  if (!Value || !TomlTable::isName(*Value))
    this->refuse(Key, Rule);
  return *Value;
}

common::Address TomlTable::address(std::string_view Key) const {
  const std::string Rule = "an IPv4 address and a port, \"a.b.c.d:port\"";
  const auto Value = this->node(Key, Rule).value_exact<std::string>();
  const auto Parsed = Value ? common::Address::parse(*Value) : std::nullopt;
  if (!Parsed)
    this->refuse(Key, Rule);
  return *Parsed;
}

std::int64_t TomlTable::integer(std::string_view Key, std::int64_t Least,
                                std::int64_t Greatest) const {
  const std::string Rule = "an integer from " + std::to_string(Least) + " to " +
                           std::to_string(Greatest);
  const auto Value = this->node(Key, Rule).value_exact<std::int64_t>();
  if (!Value || *Value < Least || *Value > Greatest)
    this->refuse(Key, Rule);
  return *Value;
}

double TomlTable::number(std::string_view Key, double Least,
                         double Greatest) const {
  const std::string Rule =
      "a number from " + textOfNumber(Least) + " to " + textOfNumber(Greatest);
  const toml::node &Node = this->node(Key, Rule);
  const auto Value = Node.is_number() ? Node.value<double>() : std::nullopt;
  // Written so that NaN is refused.
  if (!Value || !(*Value >= Least && *Value <= Greatest))
    this->refuse(Key, Rule);
  return *Value;
}

bool TomlTable::boolean(std::string_view Key) const {
  const std::string Rule = "true or false";
  const auto Value = this->node(Key, Rule).value_exact<bool>();
  if (!Value)
    this->refuse(Key, Rule);
  return *Value;
}

TomlTable TomlTable::table(std::string_view Key) const {
  const std::string Rule = "a table";
  const toml::node &Node = this->node(Key, Rule);
  if (!Node.is_table())
    this->refuse(Key, Rule);
  return TomlTable(*this->Context, *Node.as_table(), this->fullKey(Key));
}

std::vector<TomlTable> TomlTable::tables() const {
  std::vector<TomlTable> Found;
  for (const auto &[Key, Node] : *this->Table) {
    if (!TomlTable::isName(Key.str()))
      this->refuse(Key.str(), "a name of " + std::string(NameRule));
    Found.push_back(this->table(Key.str()));
  }
  if (Found.empty())
    this->refuse("", "(empty)", this->Table->source().begin.line,
                 "at least one table");
  return Found;
}

std::vector<TomlTable> TomlTable::tableArray(std::string_view Key) const {
  const std::string Rule = "an array of tables, at least one";
  const toml::array *Array = this->node(Key, Rule).as_array();
  if (Array == nullptr || Array->empty())
    this->refuse(Key, Rule);
  std::vector<TomlTable> Found;
  for (const toml::node &Element : *Array) {
    if (!Element.is_table())
      this->refuse(Key, Rule);
    const std::string Number = "[" + std::to_string(Found.size()) + "]";
    Found.emplace_back(*this->Context, *Element.as_table(),
                       this->fullKey(Key) + Number);
  }
  return Found;
}

std::vector<std::string> TomlTable::strings(std::string_view Key) const {
  const std::string Rule = "an array of strings";
  const toml::array *Array = this->node(Key, Rule).as_array();
  if (Array == nullptr)
    this->refuse(Key, Rule);
  std::vector<std::string> Found;
  for (const toml::node &Element : *Array) {
    const auto Value = Element.value_exact<std::string>();
    if (!Value)
      this->refuse(Key, Rule);
    Found.push_back(*Value);
  }
  return Found;
}

std::string TomlTable::lastName() const {
  // Names may contain dots, so the path cannot be split at the last one.
  const std::size_t Dot = this->Path.find('.');
  return Dot == std::string::npos ? this->Path : this->Path.substr(Dot + 1);
}

void TomlTable::refuse(std::string_view Key, const std::string &Allowed) const {
  const toml::node *Node = this->Table->get(Key);
  if (Node == nullptr)
    this->refuse(Key, "(missing)", this->Table->source().begin.line, Allowed);
  this->refuse(Key, textOf(*Node), Node->source().begin.line, Allowed);
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
    this->refuse(Key, Allowed);
  return *Node;
}

std::string TomlTable::fullKey(std::string_view Key) const {
  if (this->Path.empty() || Key.empty())
    return this->Path + std::string(Key);
  return this->Path + "." + std::string(Key);
}

void TomlTable::refuse(std::string_view Key, const std::string &Value,
                       std::uint32_t Line, const std::string &Allowed) const {
  throw ConfigurationError(this->Context->Code, this->Context->Source, Line,
                           this->fullKey(Key), Value, Allowed);
}

} // namespace acaciacross::configuration
