#ifndef ACACIACROSS_PLATFORM_PLATFORMERROR_H
#define ACACIACROSS_PLATFORM_PLATFORMERROR_H

#include "Common/Error.h"

namespace acaciacross::platform {

/// Thrown for a reply of the platform that cannot be used; its code is
/// PlatformUnavailable.
class PlatformError : public common::Error {
public:
  explicit PlatformError(const std::string &Message);
};

} // namespace acaciacross::platform

#endif
