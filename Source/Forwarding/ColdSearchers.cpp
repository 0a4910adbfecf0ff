#include "Forwarding/ColdSearchers.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciacross::forwarding {

namespace {

// The other part is for VMs whose views differ: two sets of VMs that know
// nothing of each other may both use the limit.
constexpr double UsableShare = 0.5;
// Far above what any number of VMs can send to one searcher.
constexpr double MaxFleetLimit = 1e6;

} // namespace

ColdSearchers::ColdSearchers(ColdStartSettings Settings) : Settings(Settings) {}

// A searcher may crash at a rate above its tolerance, also within the bound.
unsigned ColdSearchers::fleetLimit(const ColdStartTolerance &Tolerance,
                                   const ColdStartSettings &Settings) {
  const double Bound =
      Tolerance.RequestsPerSecond * Settings.Overage + Settings.Slack;
  const double Tolerated = std::max(1.0, Tolerance.RequestsPerSecond);
  return static_cast<unsigned>(std::floor(std::clamp(
      std::min(UsableShare * Bound, Tolerated), 0.0, MaxFleetLimit)));
}

void ColdSearchers::setTable(std::shared_ptr<const RoutingTable> NewTable,
                             const RecordMap &Searchers) {
  const bool IsSame = this->Table != nullptr &&
                      this->Table->coldStarts() == NewTable->coldStarts();
  this->Table = std::move(NewTable);
  if (IsSame)
    return;
  for (const auto &[Id, Record] : Searchers)
    Record->coldStart().setLimit(
        this->limitOf(Record->entry(), this->Marked.contains(Id)));
}

void ColdSearchers::updateMembers(const FleetMembers &Members,
                                  const RecordMap &Searchers,
                                  common::MonotonicTime Now) {
  this->forgetWarm(Searchers, Now);
  if (!this->Election.update(Members, Now))
    return;
  for (const common::SearcherId &Id : this->Marked) {
    ReplicaRecord &Record = *Searchers.at(Id);
    Record.coldStart().setLimit(this->limitOf(Record.entry(), true));
  }
}

void ColdSearchers::onListed(ReplicaRecord &Record, common::MonotonicTime Now) {
  const SearcherEntry &Searcher = Record.entry();
  const auto Known = this->Unlisted.find(Searcher.Id);
  if (Known != this->Unlisted.end()) {
    if (Known->second.Service == Searcher.Service) {
      this->UnlistedWithheld -= Known->second.Allowance.withheldCount();
      Record.coldStart() = std::move(Known->second.Allowance);
    }
    this->Unlisted.erase(Known);
  }
  Record.coldStart().onEntry(Now, Searcher.ColdLeft);
  if (Record.coldStart().isMarked(Now))
    this->mark(Record);
  else
    Record.coldStart().setLimit(this->limitOf(Searcher, false));
}

// The entries are passed on again with each change of any of them, and
// ColdLeft counts from when it was published.
void ColdSearchers::onChanged(ReplicaRecord &Record,
                              const SearcherEntry &Before,
                              common::MonotonicTime Now) {
  const SearcherEntry &Searcher = Record.entry();
  if (Searcher.isSameRun(Before) && Searcher.ColdLeft == Before.ColdLeft)
    return;
  Record.coldStart().onEntry(Now, Searcher.ColdLeft);
  if (Record.coldStart().isMarked(Now))
    this->mark(Record);
}

void ColdSearchers::onRemoved(const ReplicaRecord &Record,
                              common::MonotonicTime Now) {
  const SearcherEntry &Searcher = Record.entry();
  this->UnlistedWithheld += Record.coldStart().withheldCount();
  if (!Record.coldStart().limit())
    return;
  if (this->Unlisted.size() >= MaxUnlisted)
    this->Unlisted.erase(
        std::ranges::min_element(this->Unlisted, {}, [](const auto &Entry) {
          return Entry.second.RemovedAt;
        }));
  this->Unlisted.insert_or_assign(
      Searcher.Id, UnlistedSearcher{Record.coldStart(), Searcher.Service, Now});
}

void ColdSearchers::onReported(ReplicaRecord &Record,
                               std::chrono::milliseconds ColdLeft,
                               common::MonotonicTime Now) {
  Record.coldStart().onReported(Now, ColdLeft);
  if (ColdLeft.count() > 0)
    this->mark(Record);
}

void ColdSearchers::onConnectFailed(ReplicaRecord &Record,
                                    common::MonotonicTime Now) {
  Record.coldStart().onConnectFailed(Now);
  if (Record.coldStart().isMarked(Now))
    this->mark(Record);
}

const std::set<common::SearcherId> &ColdSearchers::marked() const {
  return this->Marked;
}

std::uint64_t ColdSearchers::unlistedWithheldCount() const {
  return this->UnlistedWithheld;
}

// The share of a searcher that is not marked is never used, and there are many
// of them.
std::optional<ColdStartLimit>
ColdSearchers::limitOf(const SearcherEntry &Searcher, bool IsMarked) const {
  const ColdStartTolerance *Tolerance =
      this->Table == nullptr ? nullptr
                             : this->Table->coldStart(Searcher.Service);
  if (Tolerance == nullptr)
    return std::nullopt;
  ColdStartLimit Limit;
  Limit.Duration = Tolerance->Duration;
  if (IsMarked)
    Limit.RequestsPerSecond = this->Election.share(
        Searcher.Id, fleetLimit(*Tolerance, this->Settings));
  return Limit;
}

void ColdSearchers::mark(ReplicaRecord &Record) {
  if (this->Marked.insert(Record.entry().Id).second)
    Record.coldStart().setLimit(this->limitOf(Record.entry(), true));
}

void ColdSearchers::forgetWarm(const RecordMap &Searchers,
                               common::MonotonicTime Now) {
  std::erase_if(this->Marked, [&](const common::SearcherId &Id) {
    const auto Found = Searchers.find(Id);
    return Found == Searchers.end() ||
           !Found->second->coldStart().isMarked(Now);
  });
  std::erase_if(this->Unlisted, [&](const auto &Entry) {
    const bool HasPassed =
        Now - Entry.second.RemovedAt >= ColdStartAllowance::Window;
    return HasPassed && !Entry.second.Allowance.isMarked(Now);
  });
}

} // namespace acaciacross::forwarding
