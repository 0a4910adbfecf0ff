#ifndef ACACIACROSS_UPSTREAMS_HEALTHPAGE_H
#define ACACIACROSS_UPSTREAMS_HEALTHPAGE_H

#include "Upstreams/HealthStatus.h"

namespace acaciacross::upstreams {

/// Contents of a searcher's health page, which lags and may be wrong.
struct HealthPage {
  HealthStatus Status = HealthStatus::InService;
  /// Whether the searcher reports that it has just started.
  bool IsCold = false;
};

} // namespace acaciacross::upstreams

#endif
