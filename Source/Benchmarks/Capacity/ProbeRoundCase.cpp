#include "Benchmarks/Capacity/ProbeRoundCase.h"

#include "Benchmarks/Capacity/SampleFleet.h"

namespace acaciacross::benchmarks {

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr std::uint64_t RoundCount = 100;
// The addresses of the VM list are renewed as hints every 5 s.
constexpr std::uint64_t RoundsPerHintRenewal = 25;

} // namespace

ProbeRoundCase::ProbeRoundCase(std::uint32_t Count)
    : Peers(Count), Random(Seed), Fleet(SampleFleet::settings().Vm),
      Hints(SampleFleet::settings().PeerAddress),
      Probes(this->Channel, this->Random) {}

std::string ProbeRoundCase::name() const {
  return "probe_round." + std::to_string(this->Peers);
}

std::string ProbeRoundCase::unit() const { return "round"; }

std::uint64_t ProbeRoundCase::operations() const { return RoundCount; }

void ProbeRoundCase::prepare() {
  for (std::uint32_t I = 0; I < this->Peers; ++I) {
    const membership::MemberStatus Status = SampleFleet::member(I);
    this->Statuses.emplace(Status.CallerAddress, Status);
    this->Fleet.applyAck(Status, Status.CallerAddress,
                         this->Clock.monotonicNow());
  }
}

void ProbeRoundCase::run() {
  for (std::uint64_t I = 0; I < RoundCount; ++I) {
    if (I % RoundsPerHintRenewal == 0)
      for (const auto &[Peer, Status] : this->Statuses)
        this->Hints.add(Peer, this->Clock.monotonicNow());
    this->runRound();
  }
}

void ProbeRoundCase::runRound() {
  const common::MonotonicTime Now = this->Clock.monotonicNow();
  this->Hints.expire(Now);
  this->Fleet.expire(Now);
  this->Probes.tick(Now, this->Fleet, this->Hints, {});
  this->Fleet.servingPeers(Now);
  for (const auto &[To, Sequence] : this->Channel.takeSent()) {
    if (const auto SentAt = this->Probes.matchAck(Sequence, To, Now))
      this->Fleet.applyAck(this->Statuses.at(To), To, *SentAt);
  }
  this->Clock.advance(membership::ProbePeriod);
}

} // namespace acaciacross::benchmarks
