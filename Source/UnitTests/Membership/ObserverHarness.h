#ifndef ACACIACROSS_UNITTESTS_MEMBERSHIP_OBSERVERHARNESS_H
#define ACACIACROSS_UNITTESTS_MEMBERSHIP_OBSERVERHARNESS_H

#include "Common/SeededRandom.h"
#include "Membership/PauseDetector.h"
#include "Membership/Prober.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace acaciacross::membership {

/// A VM that probes others over a simulated network with a virtual clock.
class ObserverHarness : public PeerChannel {
public:
  using Delay = std::optional<std::chrono::milliseconds>;

  explicit ObserverHarness(std::uint64_t Seed = 1)
      : Random(Seed), Fleet(common::VmId("observer")),
        Hints(common::Address{"10.0.0.1", 1}), Probes(*this, this->Random) {}

  /// Adds a VM that answers at the given address, or replaces the one there.
  void setRemote(const common::Address &At, const MemberStatus &Status) {
    this->Remotes[At] = Status;
    this->Hints.addSeed(At);
  }

  void sendProbe(const common::Address &To, std::uint64_t Sequence,
                 const Heartbeat &) override {
    ++this->ProbesSent;
    const Delay Latency = this->OneWayDelay();
    if (Latency)
      this->schedule(this->Now + *Latency,
                     [this, To, Sequence] { this->handleProbe(To, Sequence); });
  }

  void sendAck(const common::Address &, std::uint64_t,
               const Heartbeat &) override {}

  /// Advances the simulation by the given time. During a pause ticks and
  /// arriving acknowledgements are delayed until its end, as in a stopped
  /// process.
  void runFor(std::chrono::milliseconds Time) {
    const common::MonotonicTime End = this->Now + Time;
    while (this->Now < End) {
      this->Now += std::chrono::milliseconds(1);
      this->runDueActions();
      if (this->Now >= this->PausedUntil && this->Now >= this->NextTick)
        this->tick();
    }
  }

  void pauseFor(std::chrono::milliseconds Time) {
    this->PausedUntil = this->Now + Time;
  }

  bool isListed(const char *Vm) const {
    for (const PeerRecord *Peer : this->Fleet.servingPeers(this->Now)) {
      if (Peer->Status.Vm.Value == Vm)
        return true;
    }
    return false;
  }

  std::size_t count(FleetEventKind Kind) const {
    std::size_t Total = 0;
    for (const FleetEvent &Event : this->Events)
      Total += Event.Kind == Kind ? 1 : 0;
    return Total;
  }

  common::SeededRandom Random;
  common::MonotonicTime Now{std::chrono::hours(1)};
  common::MonotonicTime PausedUntil;
  std::function<Delay()> OneWayDelay = [] {
    return std::chrono::milliseconds(4);
  };
  std::map<common::Address, MemberStatus> Remotes;
  FleetTable Fleet;
  AddressHints Hints;
  Prober Probes;
  PauseDetector Pauses;
  std::vector<FleetEvent> Events;
  std::size_t ProbesSent = 0;

private:
  void schedule(common::MonotonicTime At, std::function<void()> Action) {
    this->InFlight.emplace(At, std::move(Action));
  }

  void runDueActions() {
    while (!this->InFlight.empty() &&
           this->InFlight.begin()->first <= this->Now) {
      const auto Action = std::move(this->InFlight.begin()->second);
      this->InFlight.erase(this->InFlight.begin());
      Action();
    }
  }

  void handleProbe(const common::Address &From, std::uint64_t Sequence) {
    const auto Remote = this->Remotes.find(From);
    const Delay Latency = this->OneWayDelay();
    if (Remote == this->Remotes.end() || !Latency)
      return;
    const MemberStatus Status = Remote->second;
    this->schedule(this->Now + *Latency, [this, From, Sequence, Status] {
      this->handleAck(From, Sequence, Status);
    });
  }

  void handleAck(const common::Address &From, std::uint64_t Sequence,
                 const MemberStatus &Status) {
    if (this->Now < this->PausedUntil) {
      this->schedule(this->PausedUntil, [this, From, Sequence, Status] {
        this->handleAck(From, Sequence, Status);
      });
      return;
    }
    if (this->Pauses.checkBeforeMessage(this->Now, this->wallNow()))
      this->discardEvidence();
    const auto SentAt = this->Probes.matchAck(Sequence, From, this->Now);
    if (SentAt)
      this->appendEvents(this->Fleet.applyAck(Status, From, *SentAt));
  }

  void tick() {
    this->NextTick = this->Now + ProbePeriod;
    if (this->Pauses.tick(this->Now, this->wallNow()))
      this->discardEvidence();
    this->appendEvents(this->Fleet.expire(this->Now));
    this->Probes.tick(this->Now, this->Fleet, this->Hints, Heartbeat{});
  }

  void discardEvidence() {
    this->Probes.discardPending();
    this->Fleet.discardEvidence(this->Now);
  }

  void appendEvents(const std::vector<FleetEvent> &NewEvents) {
    this->Events.insert(this->Events.end(), NewEvents.begin(), NewEvents.end());
  }

  common::WallTime wallNow() const {
    return common::WallTime(this->Now.time_since_epoch());
  }

  common::MonotonicTime NextTick;
  std::multimap<common::MonotonicTime, std::function<void()>> InFlight;
};

} // namespace acaciacross::membership

#endif
