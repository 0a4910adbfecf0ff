#ifndef ACACIACROSS_CONFIGURATION_CONFIGURATIONERROR_H
#define ACACIACROSS_CONFIGURATION_CONFIGURATIONERROR_H

#include "Common/Error.h"

#include <cstdint>
#include <string>

namespace acaciacross::configuration {

/// Thrown for an invalid setting or document. The message has the form
/// "file:line: key = value: allowed values".
class ConfigurationError : public common::Error {
public:
  ConfigurationError(common::ResultCode Code, const std::string &Source,
                     std::uint32_t Line, const std::string &Key,
                     const std::string &Value, const std::string &Allowed);
};

} // namespace acaciacross::configuration

#endif
