#include "Configuration/ReaderElection.h"

#include "Common/Hash.h"

#include <cstdint>
#include <map>
#include <tuple>

namespace acaciacross::configuration {

namespace {

// The lowest ranks are elected. The state is compared first, so that a joining
// VM is not elected in place of a serving one.
auto computeRank(const ReaderCandidate &Candidate) {
  const bool IsJoining = Candidate.State == membership::ServingState::Joining;
  const std::uint64_t Weight =
      common::stableHash(Candidate.FailureDomain + '\n' + Candidate.Vm.Value);
  return std::tuple(IsJoining, ~Weight, Candidate.Vm);
}

} // namespace

std::set<common::VmId>
ReaderElection::elect(const std::vector<ReaderCandidate> &Live) {
  using Rank = decltype(computeRank(Live.front()));
  std::map<std::string, std::set<Rank>> RanksByDomain;
  for (const ReaderCandidate &Candidate : Live)
    if (Candidate.State != membership::ServingState::Leaving)
      RanksByDomain[Candidate.FailureDomain].insert(computeRank(Candidate));

  std::set<common::VmId> Elected;
  for (const auto &[Domain, Ranks] : RanksByDomain) {
    std::size_t RemainingReaders = ReadersPerDomain;
    for (const Rank &Candidate : Ranks) {
      if (RemainingReaders-- == 0)
        break;
      Elected.insert(std::get<common::VmId>(Candidate));
    }
  }
  return Elected;
}

} // namespace acaciacross::configuration
