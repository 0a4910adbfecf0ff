#ifndef ACACIACROSS_TRAFFIC_FINISHEDPOLL_H
#define ACACIACROSS_TRAFFIC_FINISHEDPOLL_H

#include "Traffic/PagePoll.h"
#include "Upstreams/PolledPage.h"

#include <optional>

namespace acaciacross::traffic {

/// Result of a finished poll. Page is empty if the poll was aborted, timed out
/// or returned no valid page.
struct FinishedPoll {
  PagePoll Poll;
  std::optional<upstreams::PolledPage> Page;
};

} // namespace acaciacross::traffic

#endif
