#ifndef ACACIACROSS_JSON_JSONNODE_H
#define ACACIACROSS_JSON_JSONNODE_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace acaciacross::json {

/// A value of a JSON text. Members that are not there read as empty nodes;
/// those read as "", 0, or an array without elements.
class JsonNode {
public:
  static JsonNode parse(const std::string &Text);

  JsonNode operator[](const std::string &Name) const;
  JsonNode element(std::size_t Index) const;
  std::size_t size() const;

  bool isObject() const;
  bool isArray() const;
  /// Empty when the value is of another type.
  std::optional<std::string> asString() const;
  std::optional<std::int64_t> asInteger() const;
  std::optional<double> asNumber() const;
  std::optional<bool> asBoolean() const;

  std::string string() const;
  double number() const;
  bool boolean() const;

private:
  struct Tree;
  std::shared_ptr<const Tree> Whole;
  const void *Value = nullptr;
};

} // namespace acaciacross::json

#endif
