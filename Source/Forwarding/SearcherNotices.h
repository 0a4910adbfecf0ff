#ifndef ACACIACROSS_FORWARDING_SEARCHERNOTICES_H
#define ACACIACROSS_FORWARDING_SEARCHERNOTICES_H

#include "Common/Identifiers.h"
#include "Common/Time.h"
#include "Forwarding/ReplicaRecord.h"
#include "Forwarding/SearcherEntry.h"

#include <cstddef>
#include <map>

namespace acaciacross::forwarding {

/// Remembers which searchers have announced that they leave and which have
/// asked this VM for a pause, also while the store does not list them. A
/// restarted searcher starts without notices.
class SearcherNotices {
public:
  /// The number of searchers that are remembered; the oldest notice is dropped
  /// for a new one.
  static constexpr std::size_t MaxSearchers = 4'096;

  void recordLeaving(const SearcherEntry &Searcher, common::MonotonicTime Now);
  void recordPause(const SearcherEntry &Searcher, common::MonotonicTime Now,
                   common::MonotonicTime PausedUntil);
  /// Returns whether this is the first invalid notice of the searcher.
  bool recordInvalid(const SearcherEntry &Searcher, common::MonotonicTime Now);

  /// Applies the notices of the searcher to its new record.
  void applyTo(ReplicaRecord &Record) const;

private:
  struct Notice {
    SearcherEntry Searcher;
    bool IsLeaving = false;
    bool HasSentInvalid = false;
    common::MonotonicTime PausedUntil;
    common::MonotonicTime RecordedAt;
  };

  Notice &noticeOf(const SearcherEntry &Searcher, common::MonotonicTime Now);

  std::map<common::SearcherId, Notice> Notices;
};

} // namespace acaciacross::forwarding

#endif
