#include "Membership/MemberUpdateExchange.h"

namespace acaciacross::membership {

MemberUpdateExchange::MemberUpdateExchange(FleetTable &Fleet,
                                           AddressHints &Hints,
                                           UpdateQueue &Updates)
    : Fleet(Fleet), Hints(Hints), Updates(Updates) {}

std::vector<FleetEvent> MemberUpdateExchange::apply(const common::Address &From,
                                                    const Heartbeat &Content,
                                                    common::MonotonicTime Now) {
  const MemberStatus &Sender = Content.Sender;
  std::vector<FleetEvent> Events = this->Fleet.applyUpdate(
      {Sender.Vm, Sender.Incarnation, Sender.State, From});
  for (const MemberUpdate &Update : Content.Updates) {
    const std::vector<FleetEvent> NewEvents = this->Fleet.applyUpdate(Update);
    Events.insert(Events.end(), NewEvents.begin(), NewEvents.end());
    this->Hints.add(Update.PeerAddress, Now);
  }
  return Events;
}

// A loss is not sent to peers: each VM determines losses from its own probes.
void MemberUpdateExchange::enqueue(const FleetEvent &Event) {
  const PeerRecord *Peer = this->Fleet.find(Event.Vm);
  if (Peer == nullptr || Event.Kind == FleetEventKind::Lost ||
      Event.Kind == FleetEventKind::DuplicateId)
    return;
  this->Updates.add({Peer->Status.Vm, Peer->Status.Incarnation,
                     Peer->Status.State, Peer->PeerAddress});
}

} // namespace acaciacross::membership
