#include "Routing/EntryVmSelector.h"

#include "Membership/FleetLimits.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace acaciacross::routing {

namespace {

// Interleaves the failure domains, so that any prefix spans as many domains as
// possible.
void interleaveDomains(std::vector<AddressCandidate> &Candidates) {
  std::map<std::string, std::size_t> CountByDomain;
  std::vector<std::pair<std::size_t, AddressCandidate>> Ranked;
  for (AddressCandidate &Candidate : Candidates) {
    const std::size_t Rank = CountByDomain[Candidate.FailureDomain]++;
    Ranked.emplace_back(Rank, std::move(Candidate));
  }
  std::stable_sort(Ranked.begin(), Ranked.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  for (std::size_t I = 0; I < Ranked.size(); ++I)
    Candidates[I] = std::move(Ranked[I].second);
}

} // namespace

EntryVmSelector::EntryVmSelector(common::RandomSource &Random)
    : Random(Random) {}

std::vector<AddressCandidate>
EntryVmSelector::select(std::span<const AddressCandidate> EntryVms,
                        bool IsThisVmServing, common::MonotonicTime Now,
                        std::size_t MaxAddresses,
                        const std::string &CallerDomain) {
  if (EntryVms.empty())
    return {};
  std::vector<AddressCandidate> Selected =
      this->usable(EntryVms, IsThisVmServing, Now, true);
  if (Selected.empty())
    Selected = this->usable(EntryVms, IsThisVmServing, Now, false);
  interleaveDomains(Selected);
  Selected = this->Affinity.apply(std::move(Selected), CallerDomain, Now);
  Selected.resize(std::min(Selected.size(), MaxAddresses));
  this->shuffle(Selected);
  return Selected;
}

std::vector<AddressCandidate>
EntryVmSelector::usable(std::span<const AddressCandidate> EntryVms,
                        bool IsThisVmServing, common::MonotonicTime Now,
                        bool IsPlaced) {
  std::vector<AddressCandidate> Eligible;
  for (const AddressCandidate &Peer : EntryVms.subspan(1))
    if (Peer.IsPlaced == IsPlaced &&
        Now - Peer.EvidenceAt <= membership::MaxEvidenceAge)
      Eligible.push_back(Peer);
  this->shuffle(Eligible);
  // This VM goes first so that truncation to MaxAddresses keeps it.
  if (IsThisVmServing && EntryVms.front().IsPlaced == IsPlaced)
    Eligible.insert(Eligible.begin(), EntryVms.front());
  return Eligible;
}

void EntryVmSelector::shuffle(std::vector<AddressCandidate> &Candidates) {
  for (std::size_t Remaining = Candidates.size(); Remaining > 1; --Remaining)
    std::swap(Candidates[Remaining - 1],
              Candidates[this->Random.below(Remaining)]);
}

} // namespace acaciacross::routing
