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

/// Checked access to a TOML table. Every function throws ConfigurationError
/// with the line, the full key, the value and what is allowed.
class TomlTable {
public:
  /// Path is the full key of the table, empty for the document.
  TomlTable(const TomlContext &Shared, const toml::table &Contents,
            std::string FullKey);

  /// Parses a document of at most 1 MB.
  static toml::table parse(const TomlContext &Shared, const std::string &Text);

  /// Refuses any key that is not in Allowed.
  void allowOnly(std::initializer_list<std::string_view> Allowed) const;

  /// Letters, digits, '.', '_', '-' and ':'; 1 to 64 of them.
  std::string name(std::string_view Key) const;
  common::Address address(std::string_view Key) const;
  std::int64_t integer(std::string_view Key, std::int64_t Least,
                       std::int64_t Greatest) const;
  /// In [Least, Greatest].
  double number(std::string_view Key, double Least, double Greatest) const;
  bool boolean(std::string_view Key) const;
  TomlTable table(std::string_view Key) const;

  /// The tables in this table, by name; at least one.
  std::vector<TomlTable> tables() const;
  /// An array of tables; at least one.
  std::vector<TomlTable> tableArray(std::string_view Key) const;
  /// An array of strings.
  std::vector<std::string> strings(std::string_view Key) const;

  /// Last part of the path.
  std::string lastName() const;

  /// Throws for the value of Key.
  [[noreturn]] void refuse(std::string_view Key,
                           const std::string &Allowed) const;

  static bool isName(std::string_view Text);

private:
  const toml::node &node(std::string_view Key,
                         const std::string &Allowed) const;
  std::string fullKey(std::string_view Key) const;
  [[noreturn]] void refuse(std::string_view Key, const std::string &Value,
                           std::uint32_t Line,
                           const std::string &Allowed) const;

  const TomlContext *Context;
  const toml::table *Table;
  std::string Path;
};

} // namespace acaciacross::configuration

#endif
