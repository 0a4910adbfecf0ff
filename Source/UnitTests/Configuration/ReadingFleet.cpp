#include "UnitTests/Configuration/ReadingFleet.h"

#include "Configuration/ReaderElection.h"
#include "Membership/FleetLimits.h"

#include <algorithm>
#include <memory>
#include <string>

namespace acaciacross::configuration {

namespace {
// Times of the parts around the schedule: ConfigurationSync and
// ConfigurationWatcher.

constexpr std::chrono::milliseconds PullFailureDelay{1000};
constexpr std::chrono::milliseconds WatchTime{2000};
constexpr std::chrono::milliseconds FailedWatchTime{7000};

constexpr std::chrono::milliseconds Limit{11'000};
// A VM that started less than this before the end is still joining.
constexpr std::chrono::milliseconds JoinAllowance{3000};

} // namespace

ReadingFleet::ReadingFleet(std::uint64_t Seed) : Random(Seed) {
  const std::size_t Count = 3 + this->Random.below(7);
  const std::size_t Domains = 1 + this->Random.below(3);
  this->Budget.MaxEntryVms = static_cast<std::uint32_t>(Count + 3);
  // A reader makes up to 4 calls a second (ConfigurationWatcher).
  this->Budget.MaxConfigurationCallsPerSecond =
      static_cast<std::uint32_t>(4 * Count);
  std::vector<ReaderCandidate> Candidates;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    this->Vms.push_back(std::make_unique<ReadingVm>(
        ReadingVm{ReadSchedule(this->Random), this->now()}));
    Candidates.push_back({common::VmId("entry-" + std::to_string(Index)),
                          "rack-" + std::to_string(Index % Domains),
                          membership::ServingState::Serving});
  }
  const auto Elected = ReaderElection::readers(Candidates);
  for (std::size_t Index = 0; Index < Count; ++Index)
    this->Vms[Index]->IsReader = Elected.contains(Candidates[Index].Vm);
  this->Keeper = this->Random.below(Count);
  this->CutOff = this->Random.below(2 * Count);
  this->LossRate = 0.1 * static_cast<double>(this->Random.below(4));
}

void ReadingFleet::run() {
  const auto PublishAt =
      this->now() + std::chrono::milliseconds(this->Random.below(20'000));
  while (this->now() < PublishAt)
    this->step();
  this->Published = 2;
  const auto End = this->now() + Limit;
  while (this->now() < End) {
    this->Vms[this->Keeper]->CanRead = true;
    this->step();
  }
}

std::size_t ReadingFleet::countBehind() const {
  std::size_t Behind = 0;
  for (std::size_t Index = 0; Index < this->Vms.size(); ++Index) {
    const ReadingVm &Vm = *this->Vms[Index];
    const bool IsReachable = Index == this->Keeper || Index != this->CutOff;
    const bool IsUp = Vm.StartedAt + JoinAllowance <= this->now();
    if (IsReachable && IsUp && Vm.Revision != this->Published)
      ++Behind;
  }
  return Behind;
}

std::size_t ReadingFleet::mostCalls() const { return this->MostCalls; }

const DeploymentBudget &ReadingFleet::budget() const { return this->Budget; }

common::MonotonicTime ReadingFleet::now() const {
  return this->Clock.monotonicNow();
}

bool ReadingFleet::happens(double Probability) {
  return this->Random.unitInterval() < Probability;
}

void ReadingFleet::step() {
  this->disturb();
  for (const auto &Vm : this->Vms) {
    Vm->Revision = std::max(Vm->Revision, Vm->Pulled);
    for (const auto &Peer : this->Vms)
      this->exchange(*Vm, *Peer);
    if (Vm->IsReader)
      this->watch(*Vm);
    else if (Vm->Reads.takeDueRead(this->now()))
      this->read(*Vm);
  }
  this->Clock.advance(membership::ProbePeriod);
}

void ReadingFleet::disturb() {
  const std::size_t Index = this->Random.below(this->Vms.size());
  if (this->happens(0.05))
    this->Vms[Index]->CanRead = this->happens(0.3);
  if (this->happens(0.01))
    this->restart(Index);
}

void ReadingFleet::restart(std::size_t Index) {
  const ReadingVm &Former = *this->Vms[Index];
  this->Vms[Index] = std::make_unique<ReadingVm>(
      ReadingVm{ReadSchedule(this->Random), this->now(), Former.IsReader,
                Former.CanRead});
  // It knows no peer yet and elects itself.
  this->read(*this->Vms[Index]);
}

void ReadingFleet::exchange(ReadingVm &Vm, const ReadingVm &Peer) {
  const auto IsCutOff = [this](const ReadingVm &Each) {
    return this->CutOff != this->Keeper && this->CutOff < this->Vms.size() &&
           &Each == this->Vms[this->CutOff].get();
  };
  const bool IsLost = this->happens(this->LossRate);
  if (&Vm == &Peer || IsLost || IsCutOff(Vm) || IsCutOff(Peer))
    return;
  Vm.Reads.setBudget(this->Budget);
  Vm.Reads.notePeer(Peer.Reads.answerAge(this->now()), this->now());
  if (Peer.Revision <= Vm.Revision || this->now() < Vm.NextPullAt)
    return;
  // A pull uses TCP, so it fails far less often than a datagram is lost.
  if (this->happens(this->LossRate / 10))
    Vm.NextPullAt = this->now() + PullFailureDelay;
  else
    Vm.Pulled = std::max(Vm.Pulled, Peer.Revision);
}

void ReadingFleet::watch(ReadingVm &Vm) {
  const bool IsAnswered = Vm.CanRead && Vm.Revision < this->Published;
  if (!IsAnswered && this->now() < Vm.NextWatchAt)
    return;
  Vm.NextWatchAt = this->now() + (Vm.CanRead ? WatchTime : FailedWatchTime);
  this->read(Vm);
}

void ReadingFleet::read(ReadingVm &Vm) {
  this->countCall();
  if (!Vm.CanRead)
    return;
  Vm.Revision = this->Published;
  Vm.Reads.noteAnswer(this->now());
}

void ReadingFleet::countCall() {
  this->RecentCalls.push_back(this->now());
  while (this->now() - this->RecentCalls.front() >= std::chrono::seconds(1))
    this->RecentCalls.pop_front();
  this->MostCalls = std::max(this->MostCalls, this->RecentCalls.size());
}

} // namespace acaciacross::configuration
