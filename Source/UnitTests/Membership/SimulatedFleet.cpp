#include "UnitTests/Membership/SimulatedFleet.h"

#include <algorithm>
#include <utility>

namespace acaciacross::membership {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::uint64_t LostPerThousand = 20;
constexpr microseconds DelayInDomain{100};
constexpr milliseconds DelayBetweenDomains{5};
// Standby VMs that each VM knows, besides the placed ones.
constexpr std::size_t KnownStandbys = 20;

} // namespace

/// One VM: what it knows of the others, and what it sends.
class SimulatedFleet::Node final : public PeerChannel {
public:
  Node(SimulatedFleet &Fleet, std::size_t Number)
      : Fleet(Fleet), Number(Number), Table(statusOf(Number).Vm),
        Hints(addressOf(Number)), Probes(*this, Fleet.Random) {}

  void sendProbe(const common::Address &To, std::uint64_t Sequence,
                 const Heartbeat &) override {
    const std::size_t Target = this->Fleet.VmByAddress.at(To);
    this->Fleet.transmit(this->Number, Target, [this, Target, Sequence] {
      this->Fleet.deliverProbe(this->Number, Target, Sequence);
    });
  }
  void sendAck(const common::Address &, std::uint64_t,
               const Heartbeat &) override {}

  SimulatedFleet &Fleet;
  std::size_t Number;
  FleetTable Table;
  AddressHints Hints;
  Prober Probes;
  EvidenceRelay Relay;
  bool IsDead = false;
  std::size_t SentCount = 0;
};

SimulatedFleet::SimulatedFleet(std::size_t VmCount, std::uint64_t Seed)
    : Random(Seed) {
  for (std::size_t I = 0; I < VmCount; ++I) {
    this->Nodes.push_back(std::make_unique<Node>(*this, I));
    this->VmByAddress[addressOf(I)] = I;
    if (I < PlacedCount)
      this->Placed.insert(statusOf(I).Vm);
  }
  for (const auto &Known : this->Nodes) {
    const auto Learn = [&](std::size_t Vm) {
      if (Vm != Known->Number)
        Known->Table.applyAck(statusOf(Vm), addressOf(Vm), this->Events.now());
    };
    for (std::size_t I = 0; I < PlacedCount; ++I)
      Learn(I);
    for (std::size_t I = 0; I < KnownStandbys; ++I)
      Learn(PlacedCount + this->Random.below(VmCount - PlacedCount));
    const std::size_t Vm = Known->Number;
    const auto FirstTick = milliseconds(this->Random.below(200));
    this->Events.after(FirstTick, [this, Vm] { this->tick(Vm); });
  }
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::runFor(milliseconds Time) {
  this->Events.runUntil(this->Events.now() + Time);
}

void SimulatedFleet::kill(std::size_t Vm) { this->Nodes[Vm]->IsDead = true; }

void SimulatedFleet::cutOff(std::size_t Domain) { this->CutDomain = Domain; }

void SimulatedFleet::heal() { this->CutDomain.reset(); }

std::size_t SimulatedFleet::size() const { return this->Nodes.size(); }

bool SimulatedFleet::isListed(std::size_t At, std::size_t Placed) const {
  const PeerRecord *Peer = this->Nodes[At]->Table.find(statusOf(Placed).Vm);
  return Peer != nullptr && Peer->IsConfirmed && !Peer->IsLost &&
         this->Events.now() - Peer->EvidenceAt <= MaxEvidenceAge;
}

common::MonotonicTime SimulatedFleet::now() const { return this->Events.now(); }

std::size_t SimulatedFleet::takeBusiestCount() {
  std::size_t Busiest = 0;
  for (const auto &Each : this->Nodes)
    Busiest = std::max(Busiest, std::exchange(Each->SentCount, 0));
  return Busiest;
}

std::size_t SimulatedFleet::takeCrossDomainCount() {
  return std::exchange(this->CrossDomainCount, 0);
}

common::Address SimulatedFleet::addressOf(std::size_t Vm) {
  return {"10.0." + std::to_string(Vm / 250) + "." + std::to_string(Vm % 250),
          7'000};
}

std::size_t SimulatedFleet::domainOf(std::size_t Vm) {
  return Vm % DomainCount;
}

MemberStatus SimulatedFleet::statusOf(std::size_t Vm) {
  MemberStatus Status;
  Status.Vm = common::VmId("vm-" + std::to_string(Vm));
  Status.Incarnation = common::Incarnation(Vm + 1);
  Status.State = ServingState::Serving;
  Status.FailureDomain = "z" + std::to_string(domainOf(Vm));
  return Status;
}

void SimulatedFleet::transmit(std::size_t From, std::size_t To,
                              testsupport::EventQueue::Action Deliver) {
  ++this->Nodes[From]->SentCount;
  const bool IsCrossing = domainOf(From) != domainOf(To);
  this->CrossDomainCount += IsCrossing ? 1 : 0;
  const bool IsCut =
      IsCrossing && this->CutDomain &&
      (domainOf(From) == *this->CutDomain || domainOf(To) == *this->CutDomain);
  if (IsCut || this->Random.below(1'000) < LostPerThousand)
    return;
  this->Events.after(IsCrossing ? DelayBetweenDomains
                                : std::chrono::nanoseconds(DelayInDomain),
                     [this, To, Deliver = std::move(Deliver)] {
                       if (!this->Nodes[To]->IsDead)
                         Deliver();
                     });
}

void SimulatedFleet::tick(std::size_t Vm) {
  Node &Self = *this->Nodes[Vm];
  if (Self.IsDead)
    return;
  const MemberStatus Own = statusOf(Vm);
  Self.Table.expire(this->Events.now());
  Self.Probes.setPlan(ProbePlan::make(Self.Table, this->Placed, Own.Vm,
                                      Own.FailureDomain, this->Events.now()));
  Self.Probes.tick(this->Events.now(), Self.Table, Self.Hints, Heartbeat{});
  this->Events.after(ProbePeriod, [this, Vm] { this->tick(Vm); });
}

void SimulatedFleet::deliverProbe(std::size_t From, std::size_t To,
                                  std::uint64_t Sequence) {
  Node &Target = *this->Nodes[To];
  Node &Sender = *this->Nodes[From];
  if (To < PlacedCount && From >= PlacedCount &&
      domainOf(From) == domainOf(To)) {
    const std::vector<PeerEvidence> Evidence =
        Target.Relay.collect(Target.Table, this->Placed, this->Events.now());
    this->transmit(To, From, [&Sender, To, Sequence, Evidence] {
      const auto SentAt = Sender.Probes.pendingSince(Sequence, addressOf(To));
      if (!SentAt)
        return;
      for (const PeerEvidence &Each : Evidence)
        Sender.Table.applyEvidence(Each, *SentAt - Each.Age);
    });
  }
  this->transmit(To, From, [this, &Sender, To, Sequence] {
    const auto SentAt =
        Sender.Probes.matchAck(Sequence, addressOf(To), this->Events.now());
    if (SentAt)
      Sender.Table.applyAck(statusOf(To), addressOf(To), *SentAt);
  });
}

} // namespace acaciacross::membership
