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

/// State of all searchers: who may get work, and how large a share. Results of
/// this VM's own attempts outrank health and load pages.
class UpstreamTracker {
public:
  explicit UpstreamTracker(std::unique_ptr<const EjectionPolicy> Rules);
  UpstreamTracker(const UpstreamTracker &) = delete;
  UpstreamTracker &operator=(const UpstreamTracker &) = delete;

  /// Replaces the searchers of a service and the groups that hold its shards.
  /// Searchers that are new to a known service start slowly.
  void setService(const common::ServiceName &Service,
                  const std::vector<TrackedSearcher> &Searchers,
                  const std::vector<ReplicaGroup> &Groups,
                  common::MonotonicTime Now);

  /// Positions of unknown searchers are passed over, here and below.
  void applyEvidence(std::span<const UpstreamEvidence> Batch,
                     common::MonotonicTime Now);
  void applyHealth(common::SearcherIndex Searcher, const HealthPage &Page,
                   common::MonotonicTime Now);
  void applyLoad(common::SearcherIndex Searcher, const LoadPage &Page,
                 common::MonotonicTime Now);
  /// Passed over when the searcher has another address by now.
  void applyPage(const PolledPage &Polled, common::MonotonicTime Now);
  /// The whole VM list: searchers in it with whether they are leaving.
  void applyVmList(const std::map<common::SearcherIndex, bool> &Listed,
                   common::MonotonicTime Now);
  /// A notice of another entry VM.
  void applyNotice(common::SearcherIndex Searcher,
                   std::chrono::milliseconds Age, common::MonotonicTime Now);

  /// Drops what attempts and pages showed before the end of a pause of this VM,
  /// and ends the ejections decided by it. Signs of a drain stay.
  void discardEvidence(common::MonotonicTime PauseEnd);

  /// Ends ejections and drains, and raises shares.
  void tick(common::MonotonicTime Now);

  query::SearcherAvailability
  availability(common::SearcherIndex Searcher) const;
  /// In (0, 1].
  double share(common::SearcherIndex Searcher) const;
  /// Leaving searchers to tell peers of, newest sign first.
  std::vector<membership::DrainNotice> notices(common::MonotonicTime Now,
                                               std::size_t MaxCount) const;

  /// Events since the last call.
  std::vector<UpstreamEvent> takeEvents();
  /// Services whose availabilities or shares changed since the last call.
  std::set<common::ServiceName> takeChangedServices();

private:
  SearcherState *find(common::SearcherIndex Searcher);
  const SearcherState *find(common::SearcherIndex Searcher) const;
  /// Whether the attempt ran before the end of a pause of this VM.
  bool isFromBeforePause(const UpstreamEvidence &Evidence) const;
  void markLeaving(SearcherState &State, DrainSource Source,
                   common::MonotonicTime SignAt);
  void returnToService(SearcherState &State, const std::string &Cause,
                       common::MonotonicTime Now);
  void warm(SearcherState &State, const std::string &Cause,
            common::MonotonicTime Now);
  void refreshShare(SearcherState &State, common::MonotonicTime Now);

  DrainRegistry Drains;
  SearcherStates States;
  UpstreamChanges Changes;
  Ejector Ejections;
  std::optional<common::MonotonicTime> PauseEndedAt;
  std::set<common::ServiceName> KnownServices;
  /// Searchers whose state changes with time alone.
  std::set<common::SearcherIndex> Timed;
};

} // namespace acaciacross::upstreams

#endif
