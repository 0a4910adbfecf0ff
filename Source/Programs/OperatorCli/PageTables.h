#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_PAGETABLES_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_PAGETABLES_H

#include <optional>
#include <string>

namespace acaciacross::operatorcli {

/// Tables for people from the pages of an entry VM. Each is empty when the
/// page is not of the expected form.
class PageTables {
public:
  /// Of GET /v1/status.
  static std::optional<std::string> classes(const std::string &Status);
  static std::optional<std::string> fleet(const std::string &Status);
  static std::optional<std::string> upstreams(const std::string &Status);
  static std::optional<std::string> config(const std::string &Status);
  /// Of GET /v1/audit.
  static std::optional<std::string> audit(const std::string &Trail);
};

} // namespace acaciacross::operatorcli

#endif
