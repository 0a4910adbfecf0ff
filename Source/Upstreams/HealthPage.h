#ifndef ACACIACROSS_UPSTREAMS_HEALTHPAGE_H
#define ACACIACROSS_UPSTREAMS_HEALTHPAGE_H

#include "Upstreams/HealthStatus.h"

namespace acaciacross::upstreams {

/// Health page of a searcher; it lags and may mislead.
struct HealthPage {
  HealthStatus Status = HealthStatus::InService;
  /// The searcher says that it has just started.
  bool Cold = false;
};

} // namespace acaciacross::upstreams

#endif
