#include "Platform/PlatformError.h"

namespace acaciacross::platform {

PlatformError::PlatformError(const std::string &Message)
    : common::Error(common::ResultCode::PlatformUnavailable, Message) {}

} // namespace acaciacross::platform
