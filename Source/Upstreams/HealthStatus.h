#ifndef ACACIACROSS_UPSTREAMS_HEALTHSTATUS_H
#define ACACIACROSS_UPSTREAMS_HEALTHSTATUS_H

namespace acaciacross::upstreams {

/// Result of polling a health page.
enum class HealthStatus {
  InService,
  Draining,
  /// The page reports that the searcher is unhealthy.
  Failing,
  /// No page: the connection was refused.
  Refused,
};

} // namespace acaciacross::upstreams

#endif
