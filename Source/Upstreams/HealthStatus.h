#ifndef ACACIACROSS_UPSTREAMS_HEALTHSTATUS_H
#define ACACIACROSS_UPSTREAMS_HEALTHSTATUS_H

namespace acaciacross::upstreams {

/// What a poll of a health page showed.
enum class HealthStatus {
  InService,
  Draining,
  /// The page says that the searcher does not work.
  Failing,
  /// No page: the connection was refused.
  Refused,
};

} // namespace acaciacross::upstreams

#endif
