#ifndef ACACIACROSS_ROUTING_ADDRESSADVISOR_H
#define ACACIACROSS_ROUTING_ADDRESSADVISOR_H

#include "Common/RandomSource.h"
#include "Routing/AddressCandidate.h"

#include <cstddef>
#include <span>
#include <vector>

namespace acaciacross::routing {

/// Chooses the entry VMs that an address answer names.
class AddressAdvisor {
public:
  explicit AddressAdvisor(common::RandomSource &Random);

  /// EntryVms: this VM first, then its peers. Names this VM when it serves, and
  /// peers whose evidence is at most 1 s old; VMs that stand by only when no
  /// other can be named. At most MaxAddresses, spread over failure domains, in
  /// random order. Empty when this VM does not serve and knows no fresh peer.
  std::vector<AddressCandidate>
  advise(std::span<const AddressCandidate> EntryVms, bool IsThisVmServing,
         common::MonotonicTime Now, std::size_t MaxAddresses);

private:
  /// VMs that can be named, this one first; IsPlaced: only those placed or only
  /// those standing by.
  std::vector<AddressCandidate>
  usable(std::span<const AddressCandidate> EntryVms, bool IsThisVmServing,
         common::MonotonicTime Now, bool IsPlaced);
  void shuffle(std::vector<AddressCandidate> &Candidates);

  common::RandomSource &Random;
};

} // namespace acaciacross::routing

#endif
