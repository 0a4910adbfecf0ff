#ifndef ACACIACROSS_JSON_JSONOBJECT_H
#define ACACIACROSS_JSON_JSONOBJECT_H

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace acaciacross::json {

/// The members of one JSON object that are strings, unsigned integers or
/// booleans.
/// Members of other types are known by name only.
class JsonObject {
public:
  /// Empty unless the text is one object with unique names in valid UTF-8.
  static std::optional<JsonObject> parse(std::string_view Text);

  /// The members that come before the first error, for texts that are cut off
  /// or malformed.
  static JsonObject parsePrefix(std::string_view Text);

  /// Empty when there is no member of that name and type.
  std::optional<std::string> string(const std::string &Name) const;
  std::optional<std::uint64_t> unsignedInteger(const std::string &Name) const;
  std::optional<bool> boolean(const std::string &Name) const;

  bool has(const std::string &Name) const;

  /// True when no member has a name outside of Allowed.
  bool hasOnly(std::initializer_list<std::string_view> Allowed) const;

private:
  using Value = std::variant<std::monostate, std::string, std::uint64_t, bool>;

  static bool read(std::string_view Text, JsonObject &Object);

  std::map<std::string, Value> Members;
};

} // namespace acaciacross::json

#endif
