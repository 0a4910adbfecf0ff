#ifndef ACACIACROSS_UPSTREAMS_LOADPAGE_H
#define ACACIACROSS_UPSTREAMS_LOADPAGE_H

#include <cstdint>

namespace acaciacross::upstreams {

/// Contents of a searcher's load page, which lags and may be wrong.
struct LoadPage {
  std::uint32_t Busy = 0;
  std::uint32_t Queued = 0;
  std::uint32_t Slots = 1;
};

} // namespace acaciacross::upstreams

#endif
