#include "Configuration/ConfigurationError.h"

namespace acaciacross::configuration {

ConfigurationError::ConfigurationError(common::ResultCode Number,
                                       const std::string &Source,
                                       std::uint32_t Line,
                                       const std::string &Key,
                                       const std::string &Value,
                                       const std::string &Allowed)
    : common::Error(Number, Source + ":" + std::to_string(Line) + ": " + Key +
                                " = " + Value + ": " + Allowed) {}

} // namespace acaciacross::configuration
