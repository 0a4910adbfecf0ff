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

/// Addresses that may belong to an entry VM: seeds, the platform's VM list, and
/// what peers mention. A hint says only whom to probe; it is never evidence.
class AddressHints {
public:
  explicit AddressHints(common::Address OwnAddress,
                        std::size_t MaxAddresses = MaxPeers);

  /// An address from the settings; never forgotten.
  void addSeed(const common::Address &Peer);

  void mention(const common::Address &Peer, common::MonotonicTime Now);

  /// Forgets addresses that nobody mentioned for a minute.
  void expire(common::MonotonicTime Now);

  /// One that was never taken before; empty when there is none.
  std::optional<common::Address> takeUntried();
  bool hasUntried() const;

  std::vector<common::Address> addresses() const;
  std::size_t size() const;
  /// The address at a position below size().
  const common::Address &at(std::size_t Position) const;

private:
  common::Address Self;
  std::size_t Capacity;
  std::map<common::Address, common::MonotonicTime> MentionedAt;
  std::set<common::Address> Untried;
};

} // namespace acaciacross::membership

#endif
