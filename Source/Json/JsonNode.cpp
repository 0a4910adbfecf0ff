#include "Json/JsonNode.h"

#include <cereal/archives/json.hpp>

namespace acaciacross::json {

struct JsonNode::ParsedText {
  rapidjson::Document Document;
};

namespace {

const rapidjson::Value &valueOf(const void *Value) {
  static const rapidjson::Value Empty;
  return Value == nullptr ? Empty
                          : *static_cast<const rapidjson::Value *>(Value);
}

} // namespace

JsonNode JsonNode::parse(const std::string &Text) {
  const auto Parsed = std::make_shared<ParsedText>();
  // Parses iteratively, because a text of a million opening brackets would
  // overflow the stack of the recursive parser.
  Parsed->Document.Parse<rapidjson::kParseIterativeFlag |
                         rapidjson::kParseValidateEncodingFlag>(Text.c_str(),
                                                                Text.size());
  JsonNode Node;
  if (Parsed->Document.HasParseError())
    return Node;
  Node.Value = static_cast<const rapidjson::Value *>(&Parsed->Document);
  Node.Root = Parsed;
  return Node;
}

JsonNode JsonNode::operator[](const std::string &Name) const {
  const rapidjson::Value &Current = valueOf(this->Value);
  JsonNode Node;
  if (!Current.IsObject())
    return Node;
  const auto Found = Current.FindMember(Name.c_str());
  if (Found == Current.MemberEnd())
    return Node;
  Node.Root = this->Root;
  Node.Value = &Found->value;
  return Node;
}

JsonNode JsonNode::element(std::size_t Index) const {
  JsonNode Node;
  if (Index >= this->size())
    return Node;
  Node.Root = this->Root;
  Node.Value = &valueOf(this->Value)[static_cast<rapidjson::SizeType>(Index)];
  return Node;
}

std::size_t JsonNode::size() const {
  const rapidjson::Value &Current = valueOf(this->Value);
  return Current.IsArray() ? Current.Size() : 0;
}

bool JsonNode::isMissing() const { return valueOf(this->Value).IsNull(); }

bool JsonNode::isObject() const { return valueOf(this->Value).IsObject(); }

bool JsonNode::isArray() const { return valueOf(this->Value).IsArray(); }

std::optional<std::string> JsonNode::asString() const {
  const rapidjson::Value &Current = valueOf(this->Value);
  if (!Current.IsString())
    return std::nullopt;
  return std::string(Current.GetString(), Current.GetStringLength());
}

std::optional<std::int64_t> JsonNode::asInteger() const {
  const rapidjson::Value &Current = valueOf(this->Value);
  if (!Current.IsInt64())
    return std::nullopt;
  return Current.GetInt64();
}

std::optional<double> JsonNode::asNumber() const {
  const rapidjson::Value &Current = valueOf(this->Value);
  if (!Current.IsNumber())
    return std::nullopt;
  return Current.GetDouble();
}

std::optional<bool> JsonNode::asBoolean() const {
  const rapidjson::Value &Current = valueOf(this->Value);
  if (!Current.IsBool())
    return std::nullopt;
  return Current.GetBool();
}

std::string JsonNode::string() const { return this->asString().value_or(""); }

double JsonNode::number() const { return this->asNumber().value_or(0.0); }

bool JsonNode::boolean() const { return this->asBoolean().value_or(false); }

} // namespace acaciacross::json
