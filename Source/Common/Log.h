#ifndef ACACIACROSS_COMMON_LOG_H
#define ACACIACROSS_COMMON_LOG_H

#include "Common/LogEvent.h"

#include <string_view>

namespace acaciacross::common {

/// Logs "event=<number> <name> <details>" at info level; Details holds
/// key=value pairs.
void logEvent(LogEvent Event, std::string_view Details);

/// Logs the same form at warning level.
void logWarning(LogEvent Event, std::string_view Details);

} // namespace acaciacross::common

#endif
