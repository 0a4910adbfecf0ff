#ifndef ACACIACROSS_MEMBERSHIP_FLEETTABLE_H
#define ACACIACROSS_MEMBERSHIP_FLEETTABLE_H

#include "Common/Time.h"
#include "Membership/FleetEvent.h"
#include "Membership/FleetLimits.h"
#include "Membership/MemberUpdate.h"
#include "Membership/PeerEvidence.h"
#include "Membership/PeerRecord.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace acaciacross::membership {

/// The other entry VMs as known from their acknowledgements.
class FleetTable {
public:
  explicit FleetTable(common::VmId OwnId, std::size_t MaxRecords = MaxPeers);

  /// Applies the acknowledgement of a probe that this VM sent at SentAt. The
  /// caller must filter out acknowledgements of this process.
  std::vector<FleetEvent> applyAck(const MemberStatus &Status,
                                   const common::Address &From,
                                   common::MonotonicTime SentAt);

  /// Applies the state of a peer from its own probe or from another peer. Such
  /// a message may be of any age, so only the state "leaving" is applied.
  std::vector<FleetEvent> applyUpdate(const MemberUpdate &Update);

  /// Applies evidence that another VM has passed on, dated back to At by the
  /// sending time of this VM's own probe. Ignored for an unknown VM, for
  /// another run of it and for one that leaves.
  std::vector<FleetEvent> applyEvidence(const PeerEvidence &Evidence,
                                        common::MonotonicTime At);

  /// Records that a probe was sent to the given address.
  void markProbed(const common::Address &To, common::MonotonicTime Now);

  /// Marks peers as lost, and removes lost peers that have had no evidence for
  /// ForgetTimeout.
  std::vector<FleetEvent> expire(common::MonotonicTime Now);

  /// Discards all evidence from before the end of a pause of this VM. The
  /// caller must also call Prober::discardPending().
  void discardEvidence(common::MonotonicTime PauseEnd);

  /// Peers that may be listed in address answers.
  std::vector<const PeerRecord *> servingPeers(common::MonotonicTime Now) const;

  /// Peers with evidence that are not lost, ordered by id.
  std::vector<const PeerRecord *> livePeers() const;

  const std::map<common::VmId, PeerRecord> &records() const;
  const PeerRecord *find(const common::VmId &Vm) const;
  /// Whether a known peer has the given address.
  bool knows(const common::Address &PeerAddress) const;

private:
  std::vector<FleetEvent> insert(const MemberStatus &Status,
                                 const common::Address &From,
                                 common::MonotonicTime SentAt);
  std::vector<FleetEvent> updateRecord(PeerRecord &Record,
                                       const MemberStatus &Status,
                                       const common::Address &From,
                                       common::MonotonicTime SentAt);
  void retireRun(PeerRecord &Record, const MemberStatus &Status);
  /// Returns one event for each run that shares its id with another live VM.
  std::vector<FleetEvent> reportDuplicate(const MemberStatus &Status);
  std::vector<FleetEvent> takeAddress(const common::VmId &Vm,
                                      const common::Address &From);
  void erase(const common::VmId &Vm);
  bool ensureCapacity();

  common::VmId OwnId;
  std::size_t Capacity;
  std::map<common::VmId, PeerRecord> Records;
  /// The peer that answered last at each address.
  std::map<common::Address, common::VmId> VmByAddress;
  std::set<common::Incarnation> ReportedDuplicates;
};

} // namespace acaciacross::membership

#endif
