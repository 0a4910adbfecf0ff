#ifndef ACACIACROSS_TRAFFIC_POLLSCHEDULE_H
#define ACACIACROSS_TRAFFIC_POLLSCHEDULE_H

#include "Common/RandomSource.h"
#include "Common/Time.h"
#include "Query/ServiceView.h"
#include "Traffic/EndedPoll.h"
#include "Traffic/PollEntry.h"
#include "Traffic/PollLimits.h"
#include "Traffic/PollRoom.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace acaciacross::traffic {

/// Decides when which page of which searcher is polled. A searcher's load page
/// follows its health page. Searchers that are leaving or ejected are polled
/// too, because their pages show that they are back.
class PollSchedule {
public:
  PollSchedule(PollLimits Bounds, common::RandomSource &Numbers);

  void updateService(std::shared_ptr<const query::ServiceView> View,
                     common::MonotonicTime Now);

  /// Polls to send now.
  std::vector<PagePoll> takeDue(common::MonotonicTime Now,
                                const PollRoom &Room);
  /// To be called for each poll that was taken. Gives the poll that follows it
  /// at once, if there is one.
  std::optional<PagePoll> onEnded(const EndedPoll &Ended, const PollRoom &Room);

  /// Empty when nothing becomes due before a poll ends.
  std::optional<common::MonotonicTime> nextDue() const;

private:
  void add(const query::SearcherView &Searcher, common::MonotonicTime Now);
  void schedule(common::SearcherIndex Searcher, common::MonotonicTime At);
  std::chrono::nanoseconds nextInterval();
  std::chrono::nanoseconds period() const;

  PollLimits Limits;
  common::RandomSource &Random;
  std::shared_ptr<const query::ServiceView> Service;
  std::map<common::SearcherIndex, PollEntry> Entries;
  std::set<std::pair<common::MonotonicTime, common::SearcherIndex>> Order;
  std::size_t Running = 0;

  common::MonotonicTime SecondSince;
  std::size_t StartedInSecond = 0;
};

} // namespace acaciacross::traffic

#endif
