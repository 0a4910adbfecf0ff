#include "Json/JsonObject.h"

// This header defines the assertion macro of RapidJSON, which must be the same
// in every source file that uses RapidJSON.
#include <cereal/archives/json.hpp>

#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

#include <algorithm>

namespace acaciacross::json {

namespace {

using MemberValue =
    std::variant<std::monostate, std::string, std::uint64_t, bool>;

// The iterative parser uses no stack per level. A text of a million opening
// brackets would overflow the stack of the recursive parser.
constexpr unsigned ParseFlags = rapidjson::kParseIterativeFlag |
                                rapidjson::kParseValidateEncodingFlag |
                                rapidjson::kParseFullPrecisionFlag;

/// Receives the events of the parser and stores the members of the outermost
/// object. Returning false ends the parsing with an error.
class MemberHandler
    : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, MemberHandler> {
public:
  explicit MemberHandler(std::map<std::string, MemberValue> &Target)
      : Members(Target) {}

  // NOLINTBEGIN(readability-identifier-naming): names that RapidJSON calls.
  bool Default() { return this->add(std::monostate()); }
  bool Bool(bool Value) { return this->add(Value); }
  bool Uint(unsigned Number) { return this->add(std::uint64_t{Number}); }
  bool Uint64(std::uint64_t Number) { return this->add(Number); }
  bool String(const char *Text, rapidjson::SizeType Length, bool) {
    return this->add(std::string(Text, Length));
  }
  bool Key(const char *Text, rapidjson::SizeType Length, bool) {
    if (this->Depth == 1)
      this->Name.assign(Text, Length);
    return true;
  }
  bool StartObject() { return this->open(); }
  bool EndObject(rapidjson::SizeType) { return this->close(); }
  bool StartArray() { return this->Depth > 0 && this->open(); }
  bool EndArray(rapidjson::SizeType) { return this->close(); }
  // NOLINTEND(readability-identifier-naming)

private:
  bool add(MemberValue Value) {
    if (this->Depth != 1)
      return this->Depth > 1;
    return this->Members.emplace(this->Name, std::move(Value)).second;
  }

  bool open() {
    if (this->Depth == 1 && !this->add(std::monostate()))
      return false;
    ++this->Depth;
    return true;
  }

  bool close() {
    --this->Depth;
    return true;
  }

  std::map<std::string, MemberValue> &Members;
  std::string Name;
  std::size_t Depth = 0;
};

} // namespace

std::optional<JsonObject> JsonObject::parse(std::string_view Text) {
  JsonObject Object;
  if (!parseInto(Text, Object))
    return std::nullopt;
  return Object;
}

JsonObject JsonObject::parsePrefix(std::string_view Text) {
  JsonObject Object;
  parseInto(Text, Object);
  return Object;
}

bool JsonObject::parseInto(std::string_view Text, JsonObject &Object) {
  rapidjson::MemoryStream Bytes(Text.data(), Text.size());
  rapidjson::EncodedInputStream<rapidjson::UTF8<>, rapidjson::MemoryStream>
      Input(Bytes);
  MemberHandler Handler(Object.Members);
  return !rapidjson::Reader().Parse<ParseFlags>(Input, Handler).IsError();
}

std::optional<std::string> JsonObject::string(const std::string &Name) const {
  const auto Found = this->Members.find(Name);
  if (Found == this->Members.end())
    return std::nullopt;
  const auto *Text = std::get_if<std::string>(&Found->second);
  return Text ? std::optional(*Text) : std::nullopt;
}

std::optional<std::uint64_t>
JsonObject::unsignedInteger(const std::string &Name) const {
  const auto Found = this->Members.find(Name);
  if (Found == this->Members.end())
    return std::nullopt;
  const auto *Number = std::get_if<std::uint64_t>(&Found->second);
  return Number ? std::optional(*Number) : std::nullopt;
}

std::optional<bool> JsonObject::boolean(const std::string &Name) const {
  const auto Found = this->Members.find(Name);
  if (Found == this->Members.end())
    return std::nullopt;
  const auto *Value = std::get_if<bool>(&Found->second);
  return Value ? std::optional(*Value) : std::nullopt;
}

bool JsonObject::has(const std::string &Name) const {
  return this->Members.contains(Name);
}

bool JsonObject::hasOnly(
    std::initializer_list<std::string_view> Allowed) const {
  return std::all_of(this->Members.begin(), this->Members.end(),
                     [&](const auto &Member) {
                       return std::find(Allowed.begin(), Allowed.end(),
                                        Member.first) != Allowed.end();
                     });
}

} // namespace acaciacross::json
