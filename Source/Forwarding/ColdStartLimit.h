#ifndef ACACIACROSS_FORWARDING_COLDSTARTLIMIT_H
#define ACACIACROSS_FORWARDING_COLDSTARTLIMIT_H

#include <chrono>

namespace acaciacross::forwarding {

/// What this VM may send to one searcher while it is cold.
struct ColdStartLimit {
  /// How long a searcher of the service is cold after its start.
  std::chrono::milliseconds Duration{0};
  /// Requests that this VM may send in any one second.
  unsigned RequestsPerSecond = 0;
};

} // namespace acaciacross::forwarding

#endif
