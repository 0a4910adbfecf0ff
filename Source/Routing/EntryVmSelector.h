#ifndef ACACIACROSS_ROUTING_ENTRYVMSELECTOR_H
#define ACACIACROSS_ROUTING_ENTRYVMSELECTOR_H

#include "Common/RandomSource.h"
#include "Routing/AddressCandidate.h"
#include "Routing/DomainAffinity.h"

#include <cstddef>
#include <span>
#include <string>
#include <vector>

namespace acaciacross::routing {

/// Selects the entry VMs to list in an address answer.
class EntryVmSelector {
public:
  explicit EntryVmSelector(common::RandomSource &Random);

  /// EntryVms lists this VM first, then its peers. Returns this VM if it is
  /// serving, and peers whose evidence is at most 1 s old. Standby VMs are
  /// returned only if no placed VM is eligible. CallerDomain: the failure
  /// domain of the caller, whose VMs are preferred; empty when unknown. The
  /// result has at most MaxAddresses entries in random order. It is empty if
  /// this VM is not serving and no peer has fresh evidence.
  std::vector<AddressCandidate>
  select(std::span<const AddressCandidate> EntryVms, bool IsThisVmServing,
         common::MonotonicTime Now, std::size_t MaxAddresses,
         const std::string &CallerDomain);

private:
  /// Returns the eligible VMs that are placed (IsPlaced) or standby
  /// (otherwise), this VM first.
  std::vector<AddressCandidate>
  usable(std::span<const AddressCandidate> EntryVms, bool IsThisVmServing,
         common::MonotonicTime Now, bool IsPlaced);
  void shuffle(std::vector<AddressCandidate> &Candidates);

  common::RandomSource &Random;
  DomainAffinity Affinity;
};

} // namespace acaciacross::routing

#endif
