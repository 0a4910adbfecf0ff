#ifndef ACACIACROSS_UPSTREAMS_DRAINREGISTRY_H
#define ACACIACROSS_UPSTREAMS_DRAINREGISTRY_H

#include "Common/Identifiers.h"
#include "Upstreams/DrainRecord.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <utility>
#include <vector>

namespace acaciacross::upstreams {

/// Which searchers are leaving. A searcher stays leaving until there is
/// evidence of a new process. Holds at most one record per searcher, and
/// records of searchers that are in service are dropped after a time.
class DrainRegistry {
public:
  /// Notices older than this are neither sent nor taken, so that they cannot
  /// go round among peers for ever.
  static constexpr std::chrono::milliseconds MaxNoticeAge{120'000};

  /// Takes a sign made at SignAt; true when the searcher is newly leaving.
  bool noteSign(common::SearcherIndex Searcher, DrainSource Source,
                common::MonotonicTime SignAt, bool IsWarm);

  /// The searcher refused a connection or is absent from the VM list.
  void noteGone(common::SearcherIndex Searcher);

  /// A page of the searcher says that it is in service; true when it returned.
  bool noteHealthy(common::SearcherIndex Searcher, bool IsCold,
                   common::MonotonicTime Now);

  /// The VM list shows the searcher live; true when it returned.
  bool noteListedLive(common::SearcherIndex Searcher,
                      common::MonotonicTime Now);

  /// Searchers that returned because all signs have ended.
  std::vector<common::SearcherIndex> expire(common::MonotonicTime Now);

  /// Drops what is known of the searcher.
  void forget(common::SearcherIndex Searcher);

  bool isLeaving(common::SearcherIndex Searcher) const;

  /// Leaving searchers with the age of their first sign, newest first.
  std::vector<std::pair<common::SearcherIndex, std::chrono::milliseconds>>
  recent(common::MonotonicTime Now, std::size_t MaxCount) const;

private:
  DrainRecord *leaving(common::SearcherIndex Searcher);

  std::map<common::SearcherIndex, DrainRecord> Records;
};

} // namespace acaciacross::upstreams

#endif
