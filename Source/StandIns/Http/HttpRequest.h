#ifndef ACACIACROSS_STANDINS_HTTP_HTTPREQUEST_H
#define ACACIACROSS_STANDINS_HTTP_HTTPREQUEST_H

#include "Common/Time.h"

#include <map>
#include <optional>
#include <string>

namespace acaciacross::standins {

/// A parsed HTTP request.
struct HttpRequest {
  std::string Method;
  std::string Path;
  std::map<std::string, std::string> Parameters;
  /// Keyed by the header name in lower case.
  std::map<std::string, std::string> Headers;
  std::string Body;

  /// Descriptor of the connection. Handlers may poll it, but not read, write or
  /// close it.
  int Socket = -1;
  common::MonotonicTime ConnectionAcceptedAt;
  bool IsFirstOnConnection = false;

  std::string parameter(const std::string &Name,
                        const std::string &Default = "") const;
  std::string header(const std::string &LowerCaseName) const;
  /// Empty when the parameter is absent or not an integer.
  std::optional<std::int64_t> integerParameter(const std::string &Name) const;
};

} // namespace acaciacross::standins

#endif
