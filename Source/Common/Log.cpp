#include "Common/Log.h"

#include <glog/logging.h>

namespace acaciacross::common {

void logEvent(LogEvent Event, std::string_view Details) {
  LOG(INFO) << "event=" << static_cast<int>(Event) << ' ' << logEventName(Event)
            << ' ' << Details;
}

void logWarning(LogEvent Event, std::string_view Details) {
  LOG(WARNING) << "event=" << static_cast<int>(Event) << ' '
               << logEventName(Event) << ' ' << Details;
}

} // namespace acaciacross::common
