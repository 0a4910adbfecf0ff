#ifndef ACACIACROSS_JSON_JSONNODE_H
#define ACACIACROSS_JSON_JSONNODE_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace acaciacross::json {

/// A value in a parsed JSON text. The lookup of a missing member or element
/// returns an empty node, which reads as "", 0, false or an array without
/// elements.
class JsonNode {
public:
  /// Returns an empty node when the text is not valid JSON.
  static JsonNode parse(const std::string &Text);

  JsonNode operator[](const std::string &Name) const;
  JsonNode element(std::size_t Index) const;
  /// Number of elements of an array; 0 for other values.
  std::size_t size() const;

  /// Whether the node is empty or its value is null.
  bool isMissing() const;
  bool isObject() const;
  bool isArray() const;
  /// The following are empty when the value has another type.
  std::optional<std::string> asString() const;
  std::optional<std::int64_t> asInteger() const;
  std::optional<double> asNumber() const;
  std::optional<bool> asBoolean() const;

  /// The following return "", 0 or false when the value has another type.
  std::string string() const;
  double number() const;
  bool boolean() const;

private:
  struct ParsedText;
  std::shared_ptr<const ParsedText> Root;
  const void *Value = nullptr;
};

} // namespace acaciacross::json

#endif
