#include "UnitTests/Configuration/SimulatedFleet.h"

#include "Configuration/ReaderElection.h"
#include "Membership/FleetLimits.h"

#include <algorithm>
#include <memory>
#include <string>

namespace acaciacross::configuration {

namespace {
// Delays of ConfigurationSync and ConfigurationWatcher.

constexpr std::chrono::milliseconds PullRetryDelay{1000};
constexpr std::chrono::milliseconds WatchTime{2000};
constexpr std::chrono::milliseconds FailedWatchTime{7000};

constexpr std::chrono::milliseconds ApplyTimeLimit{11'000};
// A VM that started less than this time before the end is still joining.
constexpr std::chrono::milliseconds MaxJoinTime{3000};

} // namespace

SimulatedFleet::SimulatedFleet(std::uint64_t Seed) : Random(Seed) {
  const std::size_t Count = 3 + this->Random.below(7);
  const std::size_t Domains = 1 + this->Random.below(3);
  this->Budget.MaxEntryVms = static_cast<std::uint32_t>(Count + 3);
  // ConfigurationWatcher makes up to 4 calls per second on a reader.
  this->Budget.MaxConfigurationCallsPerSecond =
      static_cast<std::uint32_t>(4 * Count);
  std::vector<ReaderCandidate> Candidates;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    this->Vms.push_back(std::make_unique<SimulatedVm>(
        SimulatedVm{FallbackReadSchedule(this->Random), this->now()}));
    Candidates.push_back({common::VmId("entry-" + std::to_string(Index)),
                          "rack-" + std::to_string(Index % Domains),
                          membership::ServingState::Serving});
  }
  const auto Elected = ReaderElection::elect(Candidates);
  for (std::size_t Index = 0; Index < Count; ++Index)
    this->Vms[Index]->IsReader = Elected.contains(Candidates[Index].Vm);
  this->AlwaysReadingVm = this->Random.below(Count);
  this->IsolatedVm = this->Random.below(2 * Count);
  this->LossProbability = 0.1 * static_cast<double>(this->Random.below(4));
}

void SimulatedFleet::run() {
  const auto PublicationTime =
      this->now() + std::chrono::milliseconds(this->Random.below(20'000));
  while (this->now() < PublicationTime)
    this->step();
  this->PublishedRevision = 2;
  const auto End = this->now() + ApplyTimeLimit;
  while (this->now() < End) {
    this->Vms[this->AlwaysReadingVm]->CanRead = true;
    this->step();
  }
}

std::size_t SimulatedFleet::countOutdated() const {
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < this->Vms.size(); ++Index) {
    const SimulatedVm &Vm = *this->Vms[Index];
    const bool IsReachable =
        Index == this->AlwaysReadingVm || Index != this->IsolatedVm;
    const bool IsUp = Vm.StartedAt + MaxJoinTime <= this->now();
    if (IsReachable && IsUp && Vm.Revision != this->PublishedRevision)
      ++Count;
  }
  return Count;
}

std::size_t SimulatedFleet::maxCallsPerSecond() const {
  return this->MaxCallsPerSecond;
}

const DeploymentBudget &SimulatedFleet::budget() const { return this->Budget; }

common::MonotonicTime SimulatedFleet::now() const {
  return this->Clock.monotonicNow();
}

bool SimulatedFleet::occurs(double Probability) {
  return this->Random.unitInterval() < Probability;
}

void SimulatedFleet::step() {
  this->injectFaults();
  for (const auto &Vm : this->Vms) {
    Vm->Revision = std::max(Vm->Revision, Vm->PulledRevision);
    for (const auto &Peer : this->Vms)
      this->exchange(*Vm, *Peer);
    if (Vm->IsReader)
      this->watch(*Vm);
    else if (Vm->Schedule.takeDueRead(this->now()))
      this->read(*Vm);
  }
  this->Clock.advance(membership::ProbePeriod);
}

void SimulatedFleet::injectFaults() {
  const std::size_t Index = this->Random.below(this->Vms.size());
  if (this->occurs(0.05))
    this->Vms[Index]->CanRead = this->occurs(0.3);
  if (this->occurs(0.01))
    this->restart(Index);
}

void SimulatedFleet::restart(std::size_t Index) {
  const SimulatedVm &Old = *this->Vms[Index];
  this->Vms[Index] = std::make_unique<SimulatedVm>(
      SimulatedVm{FallbackReadSchedule(this->Random), this->now(), Old.IsReader,
                  Old.CanRead});
  // A restarted VM knows no peers yet and elects itself.
  this->read(*this->Vms[Index]);
}

void SimulatedFleet::exchange(SimulatedVm &Vm, const SimulatedVm &Peer) {
  const auto IsIsolated = [this](const SimulatedVm &Candidate) {
    return this->IsolatedVm != this->AlwaysReadingVm &&
           this->IsolatedVm < this->Vms.size() &&
           &Candidate == this->Vms[this->IsolatedVm].get();
  };
  const bool IsLost = this->occurs(this->LossProbability);
  if (&Vm == &Peer || IsLost || IsIsolated(Vm) || IsIsolated(Peer))
    return;
  Vm.Schedule.setBudget(this->Budget);
  Vm.Schedule.recordPeerAnswerAge(Peer.Schedule.answerAge(this->now()),
                                  this->now());
  if (Peer.Revision <= Vm.Revision || this->now() < Vm.NextPullAt)
    return;
  // A pull uses TCP and therefore fails less often than a datagram is lost.
  if (this->occurs(this->LossProbability / 10))
    Vm.NextPullAt = this->now() + PullRetryDelay;
  else
    Vm.PulledRevision = std::max(Vm.PulledRevision, Peer.Revision);
}

void SimulatedFleet::watch(SimulatedVm &Vm) {
  const bool IsAnswered = Vm.CanRead && Vm.Revision < this->PublishedRevision;
  if (!IsAnswered && this->now() < Vm.NextWatchAt)
    return;
  Vm.NextWatchAt = this->now() + (Vm.CanRead ? WatchTime : FailedWatchTime);
  this->read(Vm);
}

void SimulatedFleet::read(SimulatedVm &Vm) {
  this->recordCall();
  if (!Vm.CanRead)
    return;
  Vm.Revision = this->PublishedRevision;
  Vm.Schedule.recordAnswer(this->now());
}

void SimulatedFleet::recordCall() {
  this->RecentCalls.push_back(this->now());
  while (this->now() - this->RecentCalls.front() >= std::chrono::seconds(1))
    this->RecentCalls.pop_front();
  this->MaxCallsPerSecond =
      std::max(this->MaxCallsPerSecond, this->RecentCalls.size());
}

} // namespace acaciacross::configuration
