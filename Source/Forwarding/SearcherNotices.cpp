#include "Forwarding/SearcherNotices.h"

#include <algorithm>
#include <utility>

namespace acaciacross::forwarding {

void SearcherNotices::recordLeaving(const SearcherEntry &Searcher,
                                    common::MonotonicTime Now) {
  this->noticeOf(Searcher, Now).IsLeaving = true;
}

void SearcherNotices::recordPause(const SearcherEntry &Searcher,
                                  common::MonotonicTime Now,
                                  common::MonotonicTime PausedUntil) {
  Notice &Known = this->noticeOf(Searcher, Now);
  Known.PausedUntil = std::max(Known.PausedUntil, PausedUntil);
}

bool SearcherNotices::recordInvalid(const SearcherEntry &Searcher,
                                    common::MonotonicTime Now) {
  return !std::exchange(this->noticeOf(Searcher, Now).HasSentInvalid, true);
}

void SearcherNotices::applyTo(ReplicaRecord &Record) const {
  const auto Found = this->Notices.find(Record.entry().Id);
  if (Found == this->Notices.end() ||
      !Found->second.Searcher.isSameRun(Record.entry()))
    return;
  if (Found->second.IsLeaving)
    Record.onLeaving();
  Record.onPauseRequested(Found->second.PausedUntil);
}

SearcherNotices::Notice &
SearcherNotices::noticeOf(const SearcherEntry &Searcher,
                          common::MonotonicTime Now) {
  const auto Known = this->Notices.find(Searcher.Id);
  if (Known == this->Notices.end() && this->Notices.size() >= MaxSearchers)
    this->Notices.erase(
        std::ranges::min_element(this->Notices, {}, [](const auto &Entry) {
          return Entry.second.RecordedAt;
        }));
  Notice &Current = this->Notices[Searcher.Id];
  if (!Current.Searcher.isSameRun(Searcher)) {
    Current = Notice();
    Current.Searcher = Searcher;
  }
  Current.RecordedAt = Now;
  return Current;
}

} // namespace acaciacross::forwarding
