#ifndef ACACIACROSS_CONFIGURATION_CONFIGURATIONERROR_H
#define ACACIACROSS_CONFIGURATION_CONFIGURATIONERROR_H

#include "Common/Error.h"

#include <cstdint>
#include <string>

namespace acaciacross::configuration {

/// A setting or document that is not valid. The message reads
/// "file:line: key = value: what is allowed".
class ConfigurationError : public common::Error {
public:
  ConfigurationError(common::ResultCode Number, const std::string &Source,
                     std::uint32_t Line, const std::string &Key,
                     const std::string &Value, const std::string &Allowed);
};

} // namespace acaciacross::configuration

#endif
