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

/// One VM that probes others over a fake network on a virtual clock.
class ObserverHarness : public PeerChannel {
public:
  using Delay = std::optional<std::chrono::milliseconds>;

  explicit ObserverHarness(std::uint64_t Seed = 1)
      : Random(Seed), Fleet(common::VmId("observer")),
        Hints(common::Address{"10.0.0.1", 1}), Probes(*this, this->Random) {}

  /// Adds a VM that answers at that address, or replaces the one there.
  void setRemote(const common::Address &At, const MemberStatus &Status) {
    this->Remotes[At] = Status;
    this->Hints.addSeed(At);
  }

  void sendProbe(const common::Address &To, std::uint64_t Sequence,
                 const Heartbeat &) override {
    ++this->ProbesSent;
    const Delay Way = this->LegDelay();
    if (Way)
      this->schedule(this->Now + *Way,
                     [this, To, Sequence] { this->answer(To, Sequence); });
  }

  void sendAck(const common::Address &, std::uint64_t,
               const Heartbeat &) override {}

  /// Runs until then; ticks and arriving acknowledgements wait for the end of
  /// a pause, as in a stopped process.
  void runFor(std::chrono::milliseconds Time) {
    const common::MonotonicTime End = this->Now + Time;
    while (this->Now < End) {
      this->Now += std::chrono::milliseconds(1);
      this->runDue();
      if (this->Now >= this->PausedUntil && this->Now >= this->NextTick)
        this->tick();
    }
  }

  void pauseFor(std::chrono::milliseconds Time) {
    this->PausedUntil = this->Now + Time;
  }

  bool isNamed(const char *Vm) const {
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
  std::function<Delay()> LegDelay = [] { return std::chrono::milliseconds(4); };
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

  void runDue() {
    while (!this->InFlight.empty() &&
           this->InFlight.begin()->first <= this->Now) {
      const auto Action = std::move(this->InFlight.begin()->second);
      this->InFlight.erase(this->InFlight.begin());
      Action();
    }
  }

  void answer(const common::Address &From, std::uint64_t Sequence) {
    const auto Remote = this->Remotes.find(From);
    const Delay Way = this->LegDelay();
    if (Remote == this->Remotes.end() || !Way)
      return;
    const MemberStatus Status = Remote->second;
    this->schedule(this->Now + *Way, [this, From, Sequence, Status] {
      this->receive(From, Sequence, Status);
    });
  }

  void receive(const common::Address &From, std::uint64_t Sequence,
               const MemberStatus &Status) {
    if (this->Now < this->PausedUntil) {
      this->schedule(this->PausedUntil, [this, From, Sequence, Status] {
        this->receive(From, Sequence, Status);
      });
      return;
    }
    if (this->Pauses.beforeMessage(this->Now, this->wall()))
      this->discard();
    const auto SentAt = this->Probes.matchAck(Sequence, From, this->Now);
    if (SentAt)
      this->note(this->Fleet.applyAck(Status, From, *SentAt));
  }

  void tick() {
    this->NextTick = this->Now + ProbePeriod;
    if (this->Pauses.tick(this->Now, this->wall()))
      this->discard();
    this->note(this->Fleet.expire(this->Now));
    this->Probes.tick(this->Now, this->Fleet, this->Hints, Heartbeat{});
  }

  void discard() {
    this->Probes.discardPending();
    this->Fleet.discardEvidence(this->Now);
  }

  void note(const std::vector<FleetEvent> &More) {
    this->Events.insert(this->Events.end(), More.begin(), More.end());
  }

  common::WallTime wall() const {
    return common::WallTime(this->Now.time_since_epoch());
  }

  common::MonotonicTime NextTick;
  std::multimap<common::MonotonicTime, std::function<void()>> InFlight;
};

} // namespace acaciacross::membership

#endif
