#ifndef ACACIACROSS_MEMBERSHIP_PROBER_H
#define ACACIACROSS_MEMBERSHIP_PROBER_H

#include "Common/RandomSource.h"
#include "Membership/AddressHints.h"
#include "Membership/FleetTable.h"
#include "Membership/PeerChannel.h"
#include "Membership/PendingProbe.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace acaciacross::membership {

/// Sends one round of probes per tick and matches acknowledgements to them.
class Prober {
public:
  Prober(PeerChannel &ProbeChannel, common::RandomSource &RandomNumbers);

  /// Peers of a large fleet that are probed in turn, so that their evidence
  /// stays fresh; the rest is sampled.
  void setPreferred(std::vector<common::Address> Peers);
  /// Sends one round to the peers and hinted addresses.
  void tick(common::MonotonicTime Now, FleetTable &Fleet, AddressHints &Hints,
            const Heartbeat &Content);

  /// When the acknowledged probe was sent; empty when the acknowledgement is
  /// no evidence: the probe is unknown, expired, already acknowledged, or was
  /// sent to another address.
  std::optional<common::MonotonicTime> matchAck(std::uint64_t Sequence,
                                                const common::Address &From,
                                                common::MonotonicTime Now);

  /// Drops all probes sent so far, so that acknowledgements which waited in
  /// the socket buffer during a pause match nothing.
  void discardPending();

private:
  std::vector<common::Address> chooseTargets(const FleetTable &Fleet,
                                             AddressHints &Hints);
  /// The next peers of a small fleet, in the order of their addresses.
  std::vector<common::Address> inTurn(const std::set<common::Address> &All);
  std::vector<common::Address> sample(const FleetTable &Fleet,
                                      AddressHints &Hints);
  void addPreferred(std::set<common::Address> &Targets);
  std::optional<common::Address> pickUnknown(const FleetTable &Fleet,
                                             const AddressHints &Hints);
  /// Addresses that were never probed, as many as a round may have.
  static void addUntried(std::set<common::Address> &Targets,
                         const FleetTable &Fleet, AddressHints &Hints);
  void expire(common::MonotonicTime Now);

  PeerChannel &Channel;
  common::RandomSource &Random;
  std::uint64_t NextSequence;
  common::Address LastTarget;
  std::vector<common::Address> Preferred;
  std::size_t NextPreferred = 0;
  std::map<std::uint64_t, PendingProbe> Pending;
};

} // namespace acaciacross::membership

#endif
