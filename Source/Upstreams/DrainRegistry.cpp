#include "Upstreams/DrainRegistry.h"

#include <algorithm>

namespace acaciacross::upstreams {

namespace {

// Twice the delay of the VM list: after it, no source can still show a drain
// that has ended.
constexpr std::chrono::seconds QuietPeriod{120};
// The VM list may be a minute old, so for a while after a return it may still
// come to show the drain before it.
constexpr std::chrono::seconds ListDelay{90};
// A page counts as current for a few polls.
constexpr std::chrono::seconds HealthyPeriod{5};
// Without any page the mark ends here; a searcher that is still away then costs
// refused connections, which ejection handles.
constexpr std::chrono::seconds AbandonPeriod{600};

void markReturned(DrainRecord &Record, common::MonotonicTime Now) {
  Record.Leaving = false;
  Record.ReturnedAt = Now;
  Record.ListIsOld = Record.Sources.contains(DrainSource::VmList);
}

bool hasEnded(const DrainRecord &Record, common::MonotonicTime Now) {
  const auto Quiet = Now - Record.LastSignAt;
  const bool IsHealthy =
      Record.LastHealthyAt && Now - *Record.LastHealthyAt <= HealthyPeriod;
  return Quiet >= AbandonPeriod || (Quiet >= QuietPeriod && IsHealthy);
}

} // namespace

bool DrainRegistry::noteSign(common::SearcherIndex Searcher, DrainSource Source,
                             common::MonotonicTime SignAt, bool IsWarm) {
  const auto [Position, IsNew] = this->Records.try_emplace(Searcher);
  DrainRecord &Record = Position->second;
  const bool WasLeaving = !IsNew && Record.Leaving;
  if (!IsNew && !WasLeaving) {
    // Signs of the process before the return arrive late by every way.
    const bool IsOldList =
        Source == DrainSource::VmList &&
        (Record.ListIsOld || SignAt - Record.ReturnedAt < ListDelay);
    if (SignAt <= Record.ReturnedAt || IsOldList)
      return false;
  }
  if (!WasLeaving) {
    Record = DrainRecord();
    Record.FirstSignAt = SignAt;
    Record.LastSignAt = SignAt;
    Record.WasWarm = IsWarm;
  }
  Record.Sources.insert(Source);
  if (Source != DrainSource::Peer)
    Record.LastSignAt = std::max(Record.LastSignAt, SignAt);
  return !WasLeaving;
}

void DrainRegistry::noteGone(common::SearcherIndex Searcher) {
  if (DrainRecord *Record = this->leaving(Searcher))
    Record->Gone = true;
}

bool DrainRegistry::noteHealthy(common::SearcherIndex Searcher, bool IsCold,
                                common::MonotonicTime Now) {
  DrainRecord *Record = this->leaving(Searcher);
  if (Record == nullptr)
    return false;
  Record->LastHealthyAt = Now;
  // A listener after a refused connection, or a cold start after a warm one,
  // belongs to a new process. A page alone proves nothing, because it lags.
  const bool IsNewProcess = Record->Gone || (IsCold && Record->WasWarm);
  if (IsNewProcess)
    markReturned(*Record, Now);
  return IsNewProcess;
}

bool DrainRegistry::noteListedLive(common::SearcherIndex Searcher,
                                   common::MonotonicTime Now) {
  const auto Position = this->Records.find(Searcher);
  if (Position == this->Records.end())
    return false;
  DrainRecord &Record = Position->second;
  Record.ListIsOld = false;
  const bool OnlyListed =
      Record.Leaving && Record.Sources == std::set{DrainSource::VmList};
  if (OnlyListed)
    markReturned(Record, Now);
  Record.ListIsOld = false;
  return OnlyListed;
}

std::vector<common::SearcherIndex>
DrainRegistry::expire(common::MonotonicTime Now) {
  std::vector<common::SearcherIndex> Returned;
  for (auto Position = this->Records.begin();
       Position != this->Records.end();) {
    DrainRecord &Record = Position->second;
    const bool IsForgotten = !Record.Leaving && !Record.ListIsOld &&
                             Now - Record.ReturnedAt > MaxNoticeAge;
    if (IsForgotten) {
      Position = this->Records.erase(Position);
      continue;
    }
    if (Record.Leaving && hasEnded(Record, Now)) {
      markReturned(Record, Now);
      Returned.push_back(Position->first);
    }
    ++Position;
  }
  return Returned;
}

void DrainRegistry::forget(common::SearcherIndex Searcher) {
  this->Records.erase(Searcher);
}

bool DrainRegistry::isLeaving(common::SearcherIndex Searcher) const {
  const auto Position = this->Records.find(Searcher);
  return Position != this->Records.end() && Position->second.Leaving;
}

std::vector<std::pair<common::SearcherIndex, std::chrono::milliseconds>>
DrainRegistry::recent(common::MonotonicTime Now, std::size_t MaxCount) const {
  std::vector<std::pair<common::SearcherIndex, std::chrono::milliseconds>>
      Found;
  for (const auto &[Searcher, Record] : this->Records) {
    const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - Record.FirstSignAt);
    if (Record.Leaving && Age <= MaxNoticeAge)
      Found.emplace_back(Searcher, Age);
  }
  std::sort(Found.begin(), Found.end(),
            [](const auto &A, const auto &B) { return A.second < B.second; });
  if (Found.size() > MaxCount)
    Found.resize(MaxCount);
  return Found;
}

DrainRecord *DrainRegistry::leaving(common::SearcherIndex Searcher) {
  const auto Position = this->Records.find(Searcher);
  if (Position == this->Records.end() || !Position->second.Leaving)
    return nullptr;
  return &Position->second;
}

} // namespace acaciacross::upstreams
