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

/// Tracks which searchers are leaving. A searcher stays leaving until there is
/// evidence of a new process or no source has reported the drain for some time.
/// Holds at most one record per searcher; a record is dropped some time after
/// the searcher has returned.
class DrainRegistry {
public:
  /// Drain notices older than this are neither sent nor accepted, so that they
  /// do not circulate among peers forever.
  static constexpr std::chrono::milliseconds MaxNoticeAge{120'000};

  /// Records a drain signal that Source gave at SignalAt. IsWarm tells whether
  /// the process had completed its cold start. Returns true if the searcher was
  /// not leaving before and is now.
  bool recordSignal(common::SearcherIndex Searcher, DrainSource Source,
                    common::MonotonicTime SignalAt, bool IsWarm);

  /// Records that the searcher refused a connection or is absent from the VM
  /// list.
  void recordProcessGone(common::SearcherIndex Searcher);

  /// Records that a health page reports the searcher in service. Returns
  /// whether a new process has thereby ended the drain.
  bool recordInService(common::SearcherIndex Searcher, bool IsCold,
                       common::MonotonicTime Now);

  /// Records that the VM list shows the searcher as live. Returns whether this
  /// has ended the drain.
  bool recordListedLive(common::SearcherIndex Searcher,
                        common::MonotonicTime Now);

  /// Ends the drains that no source has reported for long enough and returns
  /// their searchers. Also drops the records that are no longer needed.
  std::vector<common::SearcherIndex> expire(common::MonotonicTime Now);

  /// Removes the record of the searcher.
  void erase(common::SearcherIndex Searcher);

  bool isLeaving(common::SearcherIndex Searcher) const;

  /// At most MaxCount leaving searchers with the age of their first signal,
  /// newest first.
  std::vector<std::pair<common::SearcherIndex, std::chrono::milliseconds>>
  recentDrains(common::MonotonicTime Now, std::size_t MaxCount) const;

private:
  /// Null if the searcher is not leaving.
  DrainRecord *leaving(common::SearcherIndex Searcher);

  std::map<common::SearcherIndex, DrainRecord> Records;
};

} // namespace acaciacross::upstreams

#endif
