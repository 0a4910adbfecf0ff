#ifndef ACACIACROSS_FORWARDING_COLDSENDERELECTION_H
#define ACACIACROSS_FORWARDING_COLDSENDERELECTION_H

#include "Common/Identifiers.h"
#include "Common/Time.h"
#include "Forwarding/FleetMembers.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace acaciacross::forwarding {

/// Divides a small whole number of requests among the placed VMs, separately
/// for each searcher. VMs with the same view divide it exactly; no messages
/// pass between them.
class ColdSenderElection {
public:
  /// Takes over the newest view. Returns whether shares may have changed.
  bool update(const FleetMembers &Members, common::MonotonicTime Now);
  /// Returns this VM's part of the Total requests for the searcher.
  unsigned share(const common::SearcherId &Searcher, unsigned Total) const;

private:
  /// Returns whether the members have changed.
  bool updateMembers(const FleetMembers &Members, common::MonotonicTime Now);
  bool expireFormer(const FleetMembers &Members, common::MonotonicTime Now);

  std::set<common::VmId> Placed;
  /// VMs that are no longer placed and when that was noticed.
  std::map<common::VmId, common::MonotonicTime> Former;
  std::uint64_t SelfHash = 0;
  /// Hashes of the ids of all other members, former ones included.
  std::vector<std::uint64_t> OtherHashes;
  std::optional<common::MonotonicTime> LastUpdate;
  /// Since when this VM has known the fleet and has been placed.
  std::optional<common::MonotonicTime> PlacedSince;
  bool IsEligible = false;
};

} // namespace acaciacross::forwarding

#endif
