#ifndef ACACIACROSS_UPSTREAMS_UPSTREAMTRACKER_H
#define ACACIACROSS_UPSTREAMS_UPSTREAMTRACKER_H

#include "Membership/DrainNotice.h"
#include "Query/SearcherAvailability.h"
#include "Upstreams/Ejector.h"
#include "Upstreams/PolledPage.h"
#include "Upstreams/UpstreamEvidence.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace acaciacross::upstreams {

/// Tracks the state of all searchers: whether each one may get requests, and
/// which fraction of its normal traffic. Results of this VM's own attempts take
/// precedence over health and load pages.
class UpstreamTracker {
public:
  explicit UpstreamTracker(std::unique_ptr<const EjectionPolicy> Rules);
  UpstreamTracker(const UpstreamTracker &) = delete;
  UpstreamTracker &operator=(const UpstreamTracker &) = delete;

  /// Replaces the searchers of a service and the replica groups of its shards.
  /// Searchers that are new to a known service begin with a slow start.
  void setService(const common::ServiceName &Service,
                  const std::vector<TrackedSearcher> &Searchers,
                  const std::vector<ReplicaGroup> &Groups,
                  common::MonotonicTime Now);

  /// This and the functions below ignore the indices of unknown searchers.
  void applyEvidence(std::span<const UpstreamEvidence> Batch,
                     common::MonotonicTime Now);
  void applyHealth(common::SearcherIndex Searcher, const HealthPage &Page,
                   common::MonotonicTime Now);
  void applyLoad(common::SearcherIndex Searcher, const LoadPage &Page,
                 common::MonotonicTime Now);
  /// Ignores the page if the searcher's address has changed since the poll.
  void applyPage(const PolledPage &Polled, common::MonotonicTime Now);
  /// Applies a complete VM list: the listed searchers, each with whether it is
  /// leaving.
  void applyVmList(const std::map<common::SearcherIndex, bool> &Listed,
                   common::MonotonicTime Now);
  /// Applies a notice of another entry VM that the searcher is leaving. Age is
  /// the time since the first signal of the drain.
  void applyDrainNotice(common::SearcherIndex Searcher,
                        std::chrono::milliseconds Age,
                        common::MonotonicTime Now);

  /// Discards the results of attempts and pages from before the end of a pause
  /// of this VM, and ends all ejections. Drain signals are kept.
  void discardEvidence(common::MonotonicTime PauseEnd);

  /// Ends ejections and drains whose time is over, and advances slow starts.
  void tick(common::MonotonicTime Now);

  query::SearcherAvailability
  availability(common::SearcherIndex Searcher) const;
  /// Fraction of its normal traffic that the searcher gets, in (0, 1].
  double share(common::SearcherIndex Searcher) const;
  /// At most MaxCount notices of leaving searchers for peers, newest first.
  std::vector<membership::DrainNotice> drainNotices(common::MonotonicTime Now,
                                                    std::size_t MaxCount) const;

  /// Events since the last call.
  std::vector<UpstreamEvent> takeEvents();
  /// Services with changes of availability or share since the last call.
  std::set<common::ServiceName> takeChangedServices();

private:
  SearcherState *find(common::SearcherIndex Searcher);
  const SearcherState *find(common::SearcherIndex Searcher) const;
  /// Whether the attempt started before the end of the last pause of this VM.
  bool startedBeforePauseEnd(const UpstreamEvidence &Evidence) const;
  void markLeaving(SearcherState &State, DrainSource Source,
                   common::MonotonicTime SignalAt);
  void returnToService(SearcherState &State, const std::string &Cause,
                       common::MonotonicTime Now);
  void beginSlowStart(SearcherState &State, const std::string &Cause,
                      common::MonotonicTime Now);
  void refreshShare(SearcherState &State, common::MonotonicTime Now);

  DrainRegistry Drains;
  SearcherStates States;
  UpstreamChanges Changes;
  Ejector SearcherEjector;
  std::optional<common::MonotonicTime> PauseEndedAt;
  std::set<common::ServiceName> KnownServices;
  /// Searchers whose state changes as time passes.
  std::set<common::SearcherIndex> TimeDependent;
};

} // namespace acaciacross::upstreams

#endif
