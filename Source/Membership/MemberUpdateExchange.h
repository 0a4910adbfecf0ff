#ifndef ACACIACROSS_MEMBERSHIP_MEMBERUPDATEEXCHANGE_H
#define ACACIACROSS_MEMBERSHIP_MEMBERUPDATEEXCHANGE_H

#include "Membership/AddressHints.h"
#include "Membership/FleetTable.h"
#include "Membership/Heartbeat.h"
#include "Membership/UpdateQueue.h"

#include <vector>

namespace acaciacross::membership {

/// Applies the status and the member updates in messages of peers, and queues
/// updates for other peers.
class MemberUpdateExchange {
public:
  /// All references must outlive this object.
  MemberUpdateExchange(FleetTable &Fleet, AddressHints &Hints,
                       UpdateQueue &Updates);

  /// Applies a received message and returns the changes that it caused.
  std::vector<FleetEvent> apply(const common::Address &From,
                                const Heartbeat &Content,
                                common::MonotonicTime Now);
  /// Queues the state of the peer for other peers, unless the event concerns
  /// only this VM.
  void enqueue(const FleetEvent &Event);

private:
  FleetTable &Fleet;
  AddressHints &Hints;
  UpdateQueue &Updates;
};

} // namespace acaciacross::membership

#endif
