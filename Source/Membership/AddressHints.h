#ifndef ACACIACROSS_MEMBERSHIP_ADDRESSHINTS_H
#define ACACIACROSS_MEMBERSHIP_ADDRESSHINTS_H

#include "Common/Address.h"
#include "Common/Time.h"
#include "Membership/FleetLimits.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace acaciacross::membership {

/// Addresses that may belong to entry VMs, from seeds, the platform's VM list
/// and messages of peers. A hint is an address to probe, never evidence that a
/// VM is alive.
class AddressHints {
public:
  explicit AddressHints(common::Address OwnAddress,
                        std::size_t MaxAddresses = MaxPeers);

  /// Adds an address from the settings, which never expires.
  void addSeed(const common::Address &Peer);

  void add(const common::Address &Peer, common::MonotonicTime Now);

  /// Makes a known address count as untried again: there is a sign that a VM is
  /// live there, but its acknowledgement did not arrive.
  void retry(const common::Address &Peer);

  /// Removes addresses that were not mentioned for a minute.
  void expire(common::MonotonicTime Now);

  /// Returns an address that this function has not returned before, or not
  /// since retry; empty if there is none.
  std::optional<common::Address> takeUntried();
  void markTried(const common::Address &Peer);
  bool hasUntried() const;

  std::vector<common::Address> addresses() const;
  std::size_t size() const;
  /// Returns the address at a position less than size().
  const common::Address &at(std::size_t Position) const;

private:
  common::Address OwnAddress;
  std::size_t Capacity;
  std::map<common::Address, common::MonotonicTime> MentionedAt;
  std::set<common::Address> Untried;
};

} // namespace acaciacross::membership

#endif
