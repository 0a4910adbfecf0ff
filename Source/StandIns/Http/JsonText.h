#ifndef ACACIACROSS_STANDINS_HTTP_JSONTEXT_H
#define ACACIACROSS_STANDINS_HTTP_JSONTEXT_H

// Heavy header: include it from source files only.
#include <cereal/archives/json.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <string>

namespace acaciacross::standins {

/// The fields that Value.serialize names, as one JSON object.
template <typename T> std::string toJson(T &Value) {
  std::ostringstream Text;
  {
    cereal::JSONOutputArchive Archive(
        Text, cereal::JSONOutputArchive::Options::NoIndent());
    Value.serialize(Archive);
  }
  return Text.str();
}

/// Throws cereal::Exception when a field is missing or of another type.
template <typename T> T fromJson(const std::string &Text) {
  std::istringstream Stream(Text);
  cereal::JSONInputArchive Archive(Stream);
  T Value;
  Value.serialize(Archive);
  return Value;
}

} // namespace acaciacross::standins

#endif
