#ifndef ACACIACROSS_TRAFFIC_POLLSCHEDULE_H
#define ACACIACROSS_TRAFFIC_POLLSCHEDULE_H

#include "Common/RandomSource.h"
#include "Common/Time.h"
#include "Query/ServiceView.h"
#include "Traffic/ConnectionAvailability.h"
#include "Traffic/FinishedPoll.h"
#include "Traffic/PollLimits.h"
#include "Traffic/PolledSearcher.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace acaciacross::traffic {

/// Decides when the pages of each searcher are polled. The load page of a
/// searcher is polled after its health page. Leaving and ejected searchers are
/// polled too, because their pages show when they are available again.
class PollSchedule {
public:
  PollSchedule(PollLimits Limits, common::RandomSource &Random);

  void updateService(std::shared_ptr<const query::ServiceView> View,
                     common::MonotonicTime Now);

  /// Returns the polls to be started now.
  std::vector<PagePoll> takeDue(common::MonotonicTime Now,
                                const ConnectionAvailability &Connections);
  /// To be called for each poll that was started. Returns the poll to be
  /// started next for the same searcher, if there is one.
  std::optional<PagePoll>
  onPollFinished(const FinishedPoll &Finished,
                 const ConnectionAvailability &Connections);

  /// Empty if no poll becomes due before a running one ends.
  std::optional<common::MonotonicTime> nextDue() const;

private:
  void add(const query::SearcherView &Searcher, common::MonotonicTime Now);
  void schedule(common::SearcherIndex Searcher, common::MonotonicTime At);
  std::chrono::nanoseconds nextInterval();
  std::chrono::nanoseconds period() const;

  PollLimits Limits;
  common::RandomSource &Random;
  std::shared_ptr<const query::ServiceView> Service;
  std::map<common::SearcherIndex, PolledSearcher> Entries;
  std::set<std::pair<common::MonotonicTime, common::SearcherIndex>> DueOrder;
  std::size_t Running = 0;

  common::MonotonicTime WindowStart;
  std::size_t StartedInWindow = 0;
};

} // namespace acaciacross::traffic

#endif
