#include "Configuration/ReaderElection.h"

#include "Common/Hash.h"

#include <cstdint>
#include <map>
#include <tuple>

namespace acaciacross::configuration {

namespace {

// Smaller ranks come first. The state leads, so that a VM which is still
// joining takes no seat from one that serves.
auto rankOf(const ReaderCandidate &Candidate) {
  const bool IsJoining = Candidate.State == membership::ServingState::Joining;
  const std::uint64_t Weight =
      common::stableHash(Candidate.FailureDomain + '\n' + Candidate.Vm.Value);
  return std::tuple(IsJoining, ~Weight, Candidate.Vm);
}

} // namespace

std::set<common::VmId>
ReaderElection::readers(const std::vector<ReaderCandidate> &Live) {
  using Rank = decltype(rankOf(Live.front()));
  std::map<std::string, std::set<Rank>> Domains;
  for (const ReaderCandidate &Candidate : Live)
    if (Candidate.State != membership::ServingState::Leaving)
      Domains[Candidate.FailureDomain].insert(rankOf(Candidate));

  std::set<common::VmId> Elected;
  for (const auto &[Domain, Ranks] : Domains) {
    std::size_t Seats = ReadersPerDomain;
    for (const Rank &Each : Ranks) {
      if (Seats-- == 0)
        break;
      Elected.insert(std::get<common::VmId>(Each));
    }
  }
  return Elected;
}

} // namespace acaciacross::configuration
