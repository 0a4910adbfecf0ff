#ifndef ACACIACROSS_ROUTING_DOMAINAFFINITY_H
#define ACACIACROSS_ROUTING_DOMAINAFFINITY_H

#include "Common/Time.h"
#include "Routing/AddressCandidate.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace acaciacross::routing {

/// Chooses which of the VMs that could be named to a caller are named: mostly
/// those in the failure domain of the caller, which it reaches faster. The load
/// that it answers is a failure domain with more callers than its VMs can
/// serve, or with too few VMs.
class DomainAffinity {
public:
  /// Keeps the VMs of the caller's failure domain and as many others as their
  /// load requires, at least one, in the order of Candidates. Keeps all of them
  /// when the domain has fewer than two VMs.
  std::vector<AddressCandidate> apply(std::vector<AddressCandidate> Candidates,
                                      const std::string &CallerDomain,
                                      common::MonotonicTime Now);

private:
  struct SmoothedLoad {
    double PerMille = 0.0;
    common::MonotonicTime At;
  };

  /// Returns how many VMs of other failure domains are named.
  std::size_t otherVmCount(const std::vector<AddressCandidate> &Local,
                           common::MonotonicTime Now);

  std::map<std::string, SmoothedLoad> Loads;
};

} // namespace acaciacross::routing

#endif
