#include "Membership/FleetNews.h"

namespace acaciacross::membership {

FleetNews::FleetNews(FleetTable &Table, AddressHints &Known,
                     UpdateQueue &Outgoing)
    : Fleet(Table), Hints(Known), Updates(Outgoing) {}

std::vector<FleetEvent> FleetNews::apply(const common::Address &From,
                                         const Heartbeat &Content,
                                         common::MonotonicTime Now) {
  const MemberStatus &Sender = Content.Sender;
  std::vector<FleetEvent> Events =
      this->Fleet.applyUpdate({Sender.Vm, Sender.Run, Sender.State, From});
  for (const MemberUpdate &Update : Content.Updates) {
    const std::vector<FleetEvent> More = this->Fleet.applyUpdate(Update);
    Events.insert(Events.end(), More.begin(), More.end());
    this->Hints.mention(Update.Peers, Now);
  }
  return Events;
}

// A loss is not spread: it is this VM's own view, and peers have theirs.
void FleetNews::spread(const FleetEvent &Event) {
  const PeerRecord *Peer = this->Fleet.find(Event.Vm);
  if (Peer == nullptr || Event.Kind == FleetEventKind::Lost ||
      Event.Kind == FleetEventKind::DuplicateId)
    return;
  this->Updates.add(
      {Peer->Status.Vm, Peer->Status.Run, Peer->Status.State, Peer->Peers});
}

} // namespace acaciacross::membership
