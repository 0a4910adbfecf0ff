#ifndef ACACIACROSS_STANDINS_HTTP_HTTPREQUEST_H
#define ACACIACROSS_STANDINS_HTTP_HTTPREQUEST_H

#include "Common/Time.h"

#include <map>
#include <optional>
#include <string>

namespace acaciacross::standins {

/// A request as a stand-in sees it.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Parameters;
  /// Names in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// The connection; handlers only poll it.
  int Socket = -1;
  common::MonotonicTime ConnectionAccepted;
  bool FirstOnConnection = false;

  std::string parameter(const std::string &Name,
                        const std::string &Default = "") const;
  std::string header(const std::string &LowerCaseName) const;
  /// Empty when the parameter is absent or no whole number.
  std::optional<std::int64_t> numberParameter(const std::string &Name) const;
};

} // namespace acaciacross::standins

#endif
