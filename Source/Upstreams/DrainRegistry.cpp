#include "Upstreams/DrainRegistry.h"

#include <algorithm>

namespace acaciacross::upstreams {

namespace {

// Twice the delay of the VM list: after this time no source still reports a
// drain that has ended.
constexpr std::chrono::seconds MinQuietPeriod{120};
// The VM list may be a minute old, so it may report the previous drain for the
// first time after the searcher has returned.
constexpr std::chrono::seconds VmListDelay{90};
// A health page is current for the length of a few polls.
constexpr std::chrono::seconds InServicePageLifetime{5};
// Time without signals after which the drain is over even if no health page
// reports the searcher in service. If the searcher is still down, connections
// to it are refused and it is ejected.
constexpr std::chrono::seconds MaxQuietPeriod{600};

void markReturned(DrainRecord &Record, common::MonotonicTime Now) {
  Record.IsLeaving = false;
  Record.ReturnedAt = Now;
  Record.IsVmListOutdated = Record.Sources.contains(DrainSource::VmList);
}

bool isDrainOver(const DrainRecord &Record, common::MonotonicTime Now) {
  const auto TimeSinceSignal = Now - Record.LastSignalAt;
  const bool IsInService =
      Record.LastInServiceAt &&
      Now - *Record.LastInServiceAt <= InServicePageLifetime;
  return TimeSinceSignal >= MaxQuietPeriod ||
         (TimeSinceSignal >= MinQuietPeriod && IsInService);
}

} // namespace

bool DrainRegistry::recordSignal(common::SearcherIndex Searcher,
                                 DrainSource Source,
                                 common::MonotonicTime SignalAt, bool IsWarm) {
  const auto [It, IsNew] = this->Records.try_emplace(Searcher);
  DrainRecord &Record = It->second;
  const bool WasLeaving = !IsNew && Record.IsLeaving;
  if (!IsNew && !WasLeaving) {
    // Signals about the previous process can arrive late from every source.
    const bool IsOutdatedList =
        Source == DrainSource::VmList &&
        (Record.IsVmListOutdated || SignalAt - Record.ReturnedAt < VmListDelay);
    if (SignalAt <= Record.ReturnedAt || IsOutdatedList)
      return false;
  }
  if (!WasLeaving) {
    Record = DrainRecord();
    Record.FirstSignalAt = SignalAt;
    Record.LastSignalAt = SignalAt;
    Record.WasWarm = IsWarm;
  }
  Record.Sources.insert(Source);
  if (Source != DrainSource::Peer)
    Record.LastSignalAt = std::max(Record.LastSignalAt, SignalAt);
  return !WasLeaving;
}

void DrainRegistry::recordProcessGone(common::SearcherIndex Searcher) {
  if (DrainRecord *Record = this->leaving(Searcher))
    Record->IsProcessGone = true;
}

bool DrainRegistry::recordInService(common::SearcherIndex Searcher, bool IsCold,
                                    common::MonotonicTime Now) {
  DrainRecord *Record = this->leaving(Searcher);
  if (Record == nullptr)
    return false;
  Record->LastInServiceAt = Now;
  // A health page after a refused connection, or a cold start after a completed
  // one, comes from a new process. The page alone is no proof, because it lags.
  const bool IsNewProcess =
      Record->IsProcessGone || (IsCold && Record->WasWarm);
  if (IsNewProcess)
    markReturned(*Record, Now);
  return IsNewProcess;
}

bool DrainRegistry::recordListedLive(common::SearcherIndex Searcher,
                                     common::MonotonicTime Now) {
  const auto It = this->Records.find(Searcher);
  if (It == this->Records.end())
    return false;
  DrainRecord &Record = It->second;
  Record.IsVmListOutdated = false;
  const bool WasOnlyListed =
      Record.IsLeaving && Record.Sources == std::set{DrainSource::VmList};
  if (WasOnlyListed)
    markReturned(Record, Now);
  Record.IsVmListOutdated = false;
  return WasOnlyListed;
}

std::vector<common::SearcherIndex>
DrainRegistry::expire(common::MonotonicTime Now) {
  std::vector<common::SearcherIndex> Returned;
  for (auto It = this->Records.begin(); It != this->Records.end();) {
    DrainRecord &Record = It->second;
    const bool IsExpired = !Record.IsLeaving && !Record.IsVmListOutdated &&
                           Now - Record.ReturnedAt > MaxNoticeAge;
    if (IsExpired) {
      It = this->Records.erase(It);
      continue;
    }
    if (Record.IsLeaving && isDrainOver(Record, Now)) {
      markReturned(Record, Now);
      Returned.push_back(It->first);
    }
    ++It;
  }
  return Returned;
}

void DrainRegistry::erase(common::SearcherIndex Searcher) {
  this->Records.erase(Searcher);
}

bool DrainRegistry::isLeaving(common::SearcherIndex Searcher) const {
  const auto It = this->Records.find(Searcher);
  return It != this->Records.end() && It->second.IsLeaving;
}

std::vector<std::pair<common::SearcherIndex, std::chrono::milliseconds>>
DrainRegistry::recentDrains(common::MonotonicTime Now,
                            std::size_t MaxCount) const {
  std::vector<std::pair<common::SearcherIndex, std::chrono::milliseconds>>
      Found;
  for (const auto &[Searcher, Record] : this->Records) {
    const auto Age = std::chrono::duration_cast<std::chrono::milliseconds>(
        Now - Record.FirstSignalAt);
    if (Record.IsLeaving && Age <= MaxNoticeAge)
      Found.emplace_back(Searcher, Age);
  }
  std::sort(Found.begin(), Found.end(),
            [](const auto &A, const auto &B) { return A.second < B.second; });
  if (Found.size() > MaxCount)
    Found.resize(MaxCount);
  return Found;
}

DrainRecord *DrainRegistry::leaving(common::SearcherIndex Searcher) {
  const auto It = this->Records.find(Searcher);
  if (It == this->Records.end() || !It->second.IsLeaving)
    return nullptr;
  return &It->second;
}

} // namespace acaciacross::upstreams
