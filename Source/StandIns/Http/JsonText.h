#ifndef ACACIACROSS_STANDINS_HTTP_JSONTEXT_H
#define ACACIACROSS_STANDINS_HTTP_JSONTEXT_H

// cereal is slow to compile: include this header in source files only.
#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <string>

namespace acaciacross::standins {

/// One JSON object with the fields that Value.serialize names.
template <typename T> std::string toJson(T &Value) {
  std::ostringstream Text;
  {
    cereal::JSONOutputArchive Archive(
        Text, cereal::JSONOutputArchive::Options::NoIndent());
    Value.serialize(Archive);
  }
  return Text.str();
}

/// Reads one JSON object. Throws cereal::Exception when a field is missing or
/// has another type.
template <typename T> T fromJson(const std::string &Text) {
  std::istringstream Stream(Text);
  cereal::JSONInputArchive Archive(Stream);
  T Value;
  Value.serialize(Archive);
  return Value;
}

} // namespace acaciacross::standins

#endif
