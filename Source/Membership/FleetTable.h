#ifndef ACACIACROSS_MEMBERSHIP_FLEETTABLE_H
#define ACACIACROSS_MEMBERSHIP_FLEETTABLE_H

#include "Common/Time.h"
#include "Membership/FleetEvent.h"
#include "Membership/FleetLimits.h"
#include "Membership/MemberUpdate.h"
#include "Membership/PeerRecord.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace acaciacross::membership {

/// The other entry VMs, as their acknowledgements show them.
class FleetTable {
public:
  explicit FleetTable(common::VmId OwnId, std::size_t MaxRecords = MaxPeers);

  /// Takes an acknowledgement of a probe that this VM sent at SentAt, not one
  /// of this VM itself.
  std::vector<FleetEvent> applyAck(const MemberStatus &Status,
                                   const common::Address &From,
                                   common::MonotonicTime SentAt);

  /// Takes what a peer says in its own probe, or what another peer says of it.
  /// Such a message may be of any age, so it counts for "leaving" only.
  std::vector<FleetEvent> applyUpdate(const MemberUpdate &Update);

  /// Notes that a probe was sent to that address.
  void markProbed(const common::Address &To, common::MonotonicTime Now);

  /// Marks peers as lost and forgets peers that were lost long ago.
  std::vector<FleetEvent> expire(common::MonotonicTime Now);

  /// Drops all evidence from before the end of a pause of this VM. The Prober
  /// must drop its probes at the same time.
  void discardEvidence(common::MonotonicTime PauseEnd);

  /// Peers that an address answer may name.
  std::vector<const PeerRecord *> servingPeers(common::MonotonicTime Now) const;

  /// Peers with evidence that are not lost, in order of their ids.
  std::vector<const PeerRecord *> livePeers() const;

  const std::map<common::VmId, PeerRecord> &records() const;
  const PeerRecord *find(const common::VmId &Vm) const;
  /// Whether a peer answers at that address.
  bool knows(const common::Address &Peers) const;

private:
  std::vector<FleetEvent> insert(const MemberStatus &Status,
                                 const common::Address &From,
                                 common::MonotonicTime SentAt);
  std::vector<FleetEvent> refresh(PeerRecord &Record,
                                  const MemberStatus &Status,
                                  const common::Address &From,
                                  common::MonotonicTime SentAt);
  void restart(PeerRecord &Record, const MemberStatus &Status);
  /// One event for each run that shares its id with another live VM.
  std::vector<FleetEvent> noteDuplicate(const MemberStatus &Status);
  std::vector<FleetEvent> takeAddress(const common::VmId &Vm,
                                      const common::Address &From);
  void erase(const common::VmId &Vm);
  bool makeRoom();

  common::VmId Self;
  std::size_t Capacity;
  std::map<common::VmId, PeerRecord> Records;
  /// The peer that answered last at each address.
  std::map<common::Address, common::VmId> ByAddress;
  std::set<common::Incarnation> Duplicates;
};

} // namespace acaciacross::membership

#endif
