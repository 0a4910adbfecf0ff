#ifndef ACACIACROSS_CONFIGURATION_TOMLTABLE_H
#define ACACIACROSS_CONFIGURATION_TOMLTABLE_H

#include "Common/Address.h"
#include "Configuration/TomlContext.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <toml++/toml.h>
#include <vector>

namespace acaciacross::configuration {

/// Validating access to a TOML table. On invalid input the functions throw
/// ConfigurationError with the line, the full key, the value and what is
/// allowed.
class TomlTable {
public:
  /// FullKey is the full key of the table; it is empty for the document itself.
  TomlTable(const TomlContext &SharedContext, const toml::table &Contents,
            std::string FullKey);

  /// Parses a document of at most 1 MB.
  static toml::table parse(const TomlContext &SharedContext,
                           const std::string &Text);

  /// Throws if the table has a key that is not in AllowedKeys.
  void
  rejectUnknownKeys(std::initializer_list<std::string_view> AllowedKeys) const;

  /// A string of 1 to 64 letters, digits, '.', '_', '-' and ':'.
  std::string name(std::string_view Key) const;
  common::Address address(std::string_view Key) const;
  std::int64_t integer(std::string_view Key, std::int64_t Min,
                       std::int64_t Max) const;
  /// A number in [Min, Max].
  double number(std::string_view Key, double Min, double Max) const;
  bool boolean(std::string_view Key) const;
  TomlTable table(std::string_view Key) const;

  /// The tables in this table, ordered by name; throws if there are none.
  std::vector<TomlTable> tables() const;
  /// The elements of an array of tables; throws if there are none.
  std::vector<TomlTable> tableArray(std::string_view Key) const;
  /// The elements of an array of strings, which may be empty.
  std::vector<std::string> strings(std::string_view Key) const;

  /// The table's key without that of its parent table.
  std::string lastKey() const;

  /// Throws ConfigurationError for the value of Key.
  [[noreturn]] void throwError(std::string_view Key,
                               const std::string &Allowed) const;

  /// Whether name() accepts the text.
  static bool isName(std::string_view Text);

private:
  const toml::node &node(std::string_view Key,
                         const std::string &Allowed) const;
  std::string fullKey(std::string_view Key) const;
  [[noreturn]] void throwError(std::string_view Key, const std::string &Value,
                               std::uint32_t Line,
                               const std::string &Allowed) const;

  const TomlContext *Context;
  const toml::table *Table;
  std::string Path;
};

} // namespace acaciacross::configuration

#endif
