#include "Discovery/StoreReaderElection.h"

#include "Configuration/ReaderElection.h"

#include <algorithm>

namespace acaciacross::discovery {

// There is one election for the whole fleet instead of one for each failure
// domain, since a VM that learns of no fresh answer reads the store itself.
bool StoreReaderElection::isElected(const common::VmId &Own,
                                    const std::set<common::VmId> &Placed,
                                    const std::vector<common::VmId> &Live,
                                    const std::set<common::VmId> &Silent) {
  std::vector<configuration::ReaderCandidate> Candidates;
  const auto Add = [&](const common::VmId &Vm) {
    if (!Silent.contains(Vm))
      Candidates.push_back({Vm, "", membership::ServingState::Serving});
  };
  if (Placed.empty())
    std::ranges::for_each(Live, Add);
  else
    std::ranges::for_each(Placed, Add);
  return configuration::ReaderElection::elect(Candidates).contains(Own);
}

} // namespace acaciacross::discovery
