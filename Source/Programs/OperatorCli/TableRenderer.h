#ifndef ACACIACROSS_PROGRAMS_OPERATORCLI_TABLERENDERER_H
#define ACACIACROSS_PROGRAMS_OPERATORCLI_TABLERENDERER_H

#include <optional>
#include <string>

namespace acaciacross::operatorcli {

/// Renders the JSON pages of an entry VM as text tables. The functions return
/// an empty optional when the page does not have the expected form.
class TableRenderer {
public:
  /// From the response to GET /v1/status.
  static std::optional<std::string> classes(const std::string &StatusJson);
  static std::optional<std::string> fleet(const std::string &StatusJson);
  static std::optional<std::string> upstreams(const std::string &StatusJson);
  static std::optional<std::string> config(const std::string &StatusJson);
  /// From the response to GET /v1/audit.
  static std::optional<std::string> audit(const std::string &AuditJson);
};

} // namespace acaciacross::operatorcli

#endif
