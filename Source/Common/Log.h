#ifndef ACACIACROSS_COMMON_LOG_H
#define ACACIACROSS_COMMON_LOG_H

#include "Common/LogEvent.h"

#include <string_view>

namespace acaciacross::common {

/// Writes "event=<number> <name> <details>"; details are key=value pairs.
void logEvent(LogEvent Event, std::string_view Details);

/// The same at warning level.
void logWarning(LogEvent Event, std::string_view Details);

} // namespace acaciacross::common

#endif
