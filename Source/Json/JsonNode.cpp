#include "Json/JsonNode.h"

#include <cereal/archives/json.hpp>

namespace acaciacross::json {

struct JsonNode::Tree {
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
  const auto Parsed = std::make_shared<Tree>();
  // Iterative, because a text of a million opening brackets would overflow the
  // stack of the recursive parser.
  Parsed->Document.Parse<rapidjson::kParseIterativeFlag |
                         rapidjson::kParseValidateEncodingFlag>(Text.c_str(),
                                                                Text.size());
  JsonNode Node;
  if (Parsed->Document.HasParseError())
    return Node;
  Node.Value = static_cast<const rapidjson::Value *>(&Parsed->Document);
  Node.Whole = Parsed;
  return Node;
}

JsonNode JsonNode::operator[](const std::string &Name) const {
  const rapidjson::Value &Here = valueOf(this->Value);
  JsonNode Node;
  if (!Here.IsObject())
    return Node;
  const auto Found = Here.FindMember(Name.c_str());
  if (Found == Here.MemberEnd())
    return Node;
  Node.Whole = this->Whole;
  Node.Value = &Found->value;
  return Node;
}

JsonNode JsonNode::element(std::size_t Index) const {
  JsonNode Node;
  if (Index >= this->size())
    return Node;
  Node.Whole = this->Whole;
  Node.Value = &valueOf(this->Value)[static_cast<rapidjson::SizeType>(Index)];
  return Node;
}

std::size_t JsonNode::size() const {
  const rapidjson::Value &Here = valueOf(this->Value);
  return Here.IsArray() ? Here.Size() : 0;
}

bool JsonNode::isObject() const { return valueOf(this->Value).IsObject(); }

bool JsonNode::isArray() const { return valueOf(this->Value).IsArray(); }

std::optional<std::string> JsonNode::asString() const {
  const rapidjson::Value &Here = valueOf(this->Value);
  if (!Here.IsString())
    return std::nullopt;
  return std::string(Here.GetString(), Here.GetStringLength());
}

std::optional<std::int64_t> JsonNode::asInteger() const {
  const rapidjson::Value &Here = valueOf(this->Value);
  if (!Here.IsInt64())
    return std::nullopt;
  return Here.GetInt64();
}

std::optional<double> JsonNode::asNumber() const {
  const rapidjson::Value &Here = valueOf(this->Value);
  if (!Here.IsNumber())
    return std::nullopt;
  return Here.GetDouble();
}

std::optional<bool> JsonNode::asBoolean() const {
  const rapidjson::Value &Here = valueOf(this->Value);
  if (!Here.IsBool())
    return std::nullopt;
  return Here.GetBool();
}

std::string JsonNode::string() const { return this->asString().value_or(""); }

double JsonNode::number() const { return this->asNumber().value_or(0.0); }

bool JsonNode::boolean() const { return this->asBoolean().value_or(false); }

} // namespace acaciacross::json
