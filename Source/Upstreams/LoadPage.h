#ifndef ACACIACROSS_UPSTREAMS_LOADPAGE_H
#define ACACIACROSS_UPSTREAMS_LOADPAGE_H

#include <cstdint>

namespace acaciacross::upstreams {

/// Load page of a searcher; it lags and may mislead.
struct LoadPage {
  std::uint32_t Busy = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Slots = 1;
};

} // namespace acaciacross::upstreams

#endif
