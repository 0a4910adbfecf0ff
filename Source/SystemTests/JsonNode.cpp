#include "SystemTests/JsonNode.h"

#include <cereal/archives/json.hpp>

namespace acaciacross::systemtests {

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
  Parsed->Document.Parse(Text.c_str(), Text.size());
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

std::string JsonNode::string() const {
  const rapidjson::Value &Here = valueOf(this->Value);
  return Here.IsString() ? Here.GetString() : "";
}

double JsonNode::number() const {
  const rapidjson::Value &Here = valueOf(this->Value);
  return Here.IsNumber() ? Here.GetDouble() : 0.0;
}

bool JsonNode::boolean() const {
  const rapidjson::Value &Here = valueOf(this->Value);
  return Here.IsBool() && Here.GetBool();
}

} // namespace acaciacross::systemtests
