#include "Json/JsonWriter.h"

#include <cereal/archives/json.hpp>

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cmath>

namespace acaciacross::json {

struct JsonWriter::Output {
  rapidjson::StringBuffer Buffer;
  rapidjson::Writer<rapidjson::StringBuffer> Writer{Buffer};
};

JsonWriter::JsonWriter() : Out(std::make_unique<Output>()) {}

JsonWriter::~JsonWriter() = default;

JsonWriter &JsonWriter::beginObject() {
  this->Out->Writer.StartObject();
  return *this;
}

JsonWriter &JsonWriter::endObject() {
  this->Out->Writer.EndObject();
  return *this;
}

JsonWriter &JsonWriter::beginArray() {
  this->Out->Writer.StartArray();
  return *this;
}

JsonWriter &JsonWriter::endArray() {
  this->Out->Writer.EndArray();
  return *this;
}

JsonWriter &JsonWriter::key(std::string_view Name) {
  this->Out->Writer.Key(Name.data(),
                        static_cast<rapidjson::SizeType>(Name.size()));
  return *this;
}

JsonWriter &JsonWriter::string(std::string_view Text) {
  this->Out->Writer.String(Text.data(),
                           static_cast<rapidjson::SizeType>(Text.size()));
  return *this;
}

JsonWriter &JsonWriter::number(std::uint64_t Number) {
  this->Out->Writer.Uint64(Number);
  return *this;
}

// JSON cannot represent infinities and NaN.
JsonWriter &JsonWriter::real(double Number) {
  if (std::isfinite(Number))
    this->Out->Writer.Double(Number);
  else
    this->Out->Writer.Null();
  return *this;
}

JsonWriter &JsonWriter::boolean(bool Flag) {
  this->Out->Writer.Bool(Flag);
  return *this;
}

std::string JsonWriter::text() const {
  return {this->Out->Buffer.GetString(), this->Out->Buffer.GetSize()};
}

} // namespace acaciacross::json
