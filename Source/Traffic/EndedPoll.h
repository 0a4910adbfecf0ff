#ifndef ACACIACROSS_TRAFFIC_ENDEDPOLL_H
#define ACACIACROSS_TRAFFIC_ENDEDPOLL_H

#include "Traffic/PagePoll.h"
#include "Upstreams/PolledPage.h"

#include <optional>

namespace acaciacross::traffic {

/// End of a poll. Without a page it showed nothing: it was given up, timed out
/// or brought no valid page.
struct EndedPoll {
  PagePoll Poll;
  std::optional<upstreams::PolledPage> Page;
};

} // namespace acaciacross::traffic

#endif
