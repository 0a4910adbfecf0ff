#ifndef ACACIACROSS_UPSTREAMS_DRAINNOTICE_H
#define ACACIACROSS_UPSTREAMS_DRAINNOTICE_H

#include "Common/Identifiers.h"

#include <chrono>

namespace acaciacross::upstreams {

/// A leaving searcher, as told to other entry VMs. The age stands for the
/// moment of the sign because monotonic clocks of VMs are not comparable.
struct DrainNotice {
  common::SearcherId Searcher;
  std::chrono::milliseconds Age{0};
};

} // namespace acaciacross::upstreams

#endif
