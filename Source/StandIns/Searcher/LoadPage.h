#ifndef ACACIACROSS_STANDINS_SEARCHER_LOADPAGE_H
#define ACACIACROSS_STANDINS_SEARCHER_LOADPAGE_H

#include <cstdint>

namespace acaciacross::standins {

/// Contents of a reply to GET /load.
struct LoadPage {
  std::int64_t Busy = 0;
  std::int64_t Queued = 0;
  std::int64_t Slots = 0;
};

} // namespace acaciacross::standins

#endif
