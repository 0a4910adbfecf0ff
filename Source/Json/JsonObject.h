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
/// booleans. Of members of other types only the names are kept.
class JsonObject {
public:
  /// Empty unless the text is one object with unique member names in valid
  /// UTF-8.
  static std::optional<JsonObject> parse(std::string_view Text);

  /// Returns the members before the first error, for truncated or malformed
  /// texts.
  static JsonObject parsePrefix(std::string_view Text);

  /// The following are empty when there is no member of that name and type.
  std::optional<std::string> string(const std::string &Name) const;
  std::optional<std::uint64_t> unsignedInteger(const std::string &Name) const;
  std::optional<bool> boolean(const std::string &Name) const;

  bool has(const std::string &Name) const;

  /// Whether every member has a name in Allowed.
  bool hasOnly(std::initializer_list<std::string_view> Allowed) const;

private:
  using Value = std::variant<std::monostate, std::string, std::uint64_t, bool>;

  /// Adds members up to the first error; false when there is one.
  static bool parseInto(std::string_view Text, JsonObject &Object);

  std::map<std::string, Value> Members;
};

} // namespace acaciacross::json

#endif
