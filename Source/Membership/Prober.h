#ifndef ACACIACROSS_MEMBERSHIP_PROBER_H
#define ACACIACROSS_MEMBERSHIP_PROBER_H

#include "Common/RandomSource.h"
#include "Membership/AddressHints.h"
#include "Membership/FleetTable.h"
#include "Membership/PeerChannel.h"
#include "Membership/PendingProbe.h"
#include "Membership/ProbePlan.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace acaciacross::membership {

/// Sends one round of probes per tick and matches acknowledgements to probes.
class Prober {
public:
  Prober(PeerChannel &Channel, common::RandomSource &Random);

  /// Sets which peers of a large fleet are probed regularly. Others are sampled
  /// at random.
  void setPlan(ProbePlan NewPlan);
  /// Sets whether this VM has just started and looks for its peers.
  void setDiscovering(bool IsSearching);
  /// Sends one round of probes to peers and hinted addresses.
  void tick(common::MonotonicTime Now, FleetTable &Fleet, AddressHints &Hints,
            const Heartbeat &Content);

  /// Returns when the acknowledged probe was sent. Empty if the acknowledgement
  /// is no evidence: the probe is unknown, expired, already acknowledged or was
  /// sent to another address.
  std::optional<common::MonotonicTime> matchAck(std::uint64_t Sequence,
                                                const common::Address &From,
                                                common::MonotonicTime Now);

  /// When the pending probe was sent; empty if there is none. Does not end it.
  std::optional<common::MonotonicTime>
  pendingSince(std::uint64_t Sequence, const common::Address &To) const;

  /// Drops all pending probes, so that acknowledgements that were in the socket
  /// buffer during a pause do not match.
  void discardPending();

private:
  std::vector<common::Address> chooseTargets(const FleetTable &Fleet,
                                             AddressHints &Hints);
  /// Returns the next targets in a small fleet, round robin in address order.
  std::vector<common::Address>
  chooseRoundRobin(const std::set<common::Address> &Candidates);
  std::vector<common::Address> chooseSample(const FleetTable &Fleet,
                                            AddressHints &Hints);
  void addPreferred(std::set<common::Address> &Targets);
  std::optional<common::Address> pickUnknownHint(const FleetTable &Fleet,
                                                 const AddressHints &Hints);
  /// Adds addresses that were never probed, up to the size of a round.
  void addUntried(std::set<common::Address> &Targets, const FleetTable &Fleet,
                  AddressHints &Hints) const;
  void expire(common::MonotonicTime Now);

  PeerChannel &Channel;
  common::RandomSource &Random;
  std::uint64_t NextSequence;
  common::Address LastRoundRobinTarget;
  ProbePlan Plan;
  bool IsDiscovering = false;
  std::size_t NextPreferred = 0;
  std::size_t RoundsSinceSample = 0;
  std::map<std::uint64_t, PendingProbe> Pending;
};

} // namespace acaciacross::membership

#endif
