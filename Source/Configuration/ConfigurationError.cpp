#include "Configuration/ConfigurationError.h"

namespace acaciacross::configuration {

ConfigurationError::ConfigurationError(common::ResultCode Code,
                                       const std::string &Source,
                                       std::uint32_t Line,
                                       const std::string &Key,
                                       const std::string &Value,
                                       const std::string &Allowed)
    : common::Error(Code, Source + ":" + std::to_string(Line) + ": " + Key +
                              " = " + Value + ": " + Allowed) {}

} // namespace acaciacross::configuration
