#include "Routing/AddressAdvisor.h"

#include "Membership/FleetLimits.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace acaciacross::routing {

namespace {

// Sorted by how many of the same failure domain come before each candidate, so
// that any prefix spans as many domains as it can.
void spreadOverDomains(std::vector<AddressCandidate> &Candidates) {
  std::map<std::string, std::size_t> SeenInDomain;
  std::vector<std::pair<std::size_t, AddressCandidate>> Ranked;
  for (AddressCandidate &Each : Candidates) {
    const std::size_t Rank = SeenInDomain[Each.FailureDomain]++;
    Ranked.emplace_back(Rank, std::move(Each));
  }
  std::stable_sort(Ranked.begin(), Ranked.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.first < Right.first;
                   });
  for (std::size_t I = 0; I < Ranked.size(); ++I)
    Candidates[I] = std::move(Ranked[I].second);
}

} // namespace

AddressAdvisor::AddressAdvisor(common::RandomSource &Random) : Random(Random) {}

std::vector<AddressCandidate>
AddressAdvisor::advise(std::span<const AddressCandidate> EntryVms,
                       bool IsThisVmServing, common::MonotonicTime Now,
                       std::size_t MaxAddresses) {
  if (EntryVms.empty())
    return {};
  std::vector<AddressCandidate> Chosen =
      this->usable(EntryVms, IsThisVmServing, Now, true);
  if (Chosen.empty())
    Chosen = this->usable(EntryVms, IsThisVmServing, Now, false);
  spreadOverDomains(Chosen);
  Chosen.resize(std::min(Chosen.size(), MaxAddresses));
  this->shuffle(Chosen);
  return Chosen;
}

std::vector<AddressCandidate>
AddressAdvisor::usable(std::span<const AddressCandidate> EntryVms,
                       bool IsThisVmServing, common::MonotonicTime Now,
                       bool IsPlaced) {
  std::vector<AddressCandidate> Usable;
  for (const AddressCandidate &Peer : EntryVms.subspan(1))
    if (Peer.IsPlaced == IsPlaced &&
        Now - Peer.EvidenceAt <= membership::EvidenceLimit)
      Usable.push_back(Peer);
  this->shuffle(Usable);
  // This VM goes first so that it is in the answer whatever the maximum is.
  if (IsThisVmServing && EntryVms.front().IsPlaced == IsPlaced)
    Usable.insert(Usable.begin(), EntryVms.front());
  return Usable;
}

void AddressAdvisor::shuffle(std::vector<AddressCandidate> &Candidates) {
  for (std::size_t Left = Candidates.size(); Left > 1; --Left)
    std::swap(Candidates[Left - 1], Candidates[this->Random.below(Left)]);
}

} // namespace acaciacross::routing
