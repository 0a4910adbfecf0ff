#include "Forwarding/ReplicaRecord.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciacross::forwarding {

namespace {

// Weight of the newest sample in the moving averages.
constexpr double LatencyRatioWeight = 0.25;
constexpr double FailureRateWeight = 0.25;
// Time constant with which observations decay, so that a slow or failing
// searcher is tried again a few seconds after its last attempt.
constexpr std::chrono::milliseconds DecayTime{3'000};
constexpr double MaxLatencyRatio = 30.0;
// Searchers are slower right after their start. Replies correct this initial
// value.
constexpr double ColdLatencyRatio = 1.6;
// An attempt at a searcher that fails half of its attempts needs a second one,
// which costs several times the typical latency.
constexpr double DelayPerFailureRate = 10.0;
// A full queue lasts about as long as the work in it.
constexpr std::chrono::milliseconds BusyPeriod{100};
// A reported load is valid for about as long as a request runs.
constexpr std::chrono::milliseconds LoadDecayTime{100};
// Long enough to contain a reply, short enough to admit requests soon after a
// burst.
constexpr std::chrono::milliseconds QueueReportValidity{250};
constexpr std::chrono::milliseconds InitialBackOff{250};
constexpr std::chrono::milliseconds MaxBackOff{1'000};

// Searchers occasionally pause for up to a quarter of a second, and a tenth of
// the attempts takes several times the typical latency.
constexpr std::chrono::milliseconds MinUnresponsiveTime{300};
constexpr int UnresponsiveFactor = 10;

double decayFactor(common::MonotonicTime Since, common::MonotonicTime Now,
                   std::chrono::milliseconds TimeConstant) {
  const std::chrono::duration<double> Age = Now - Since;
  const std::chrono::duration<double> TimeConstantSeconds = TimeConstant;
  return std::exp(-Age / TimeConstantSeconds);
}

} // namespace

ReplicaRecord::ReplicaRecord(SearcherEntry Published)
    : Entry(std::move(Published)) {}

const SearcherEntry &ReplicaRecord::entry() const { return this->Entry; }

void ReplicaRecord::update(SearcherEntry Published) {
  const bool IsRestarted = !Published.isSameRun(this->Entry);
  this->Entry = std::move(Published);
  this->Removed = false;
  if (!IsRestarted)
    return;
  this->LatencyRatio = 1.0;
  this->UnexplainedRatio = 1.0;
  this->FailureRate = 0.0;
  this->UnreachableUntil = {};
  this->NextBackOff = {};
  this->Leaving = false;
  this->PausedUntil = {};
}

void ReplicaRecord::markRemoved() { this->Removed = true; }

void ReplicaRecord::setEvacuated(bool NewEvacuated) {
  this->Evacuated = NewEvacuated;
}

bool ReplicaRecord::isListed() const {
  return !this->Removed && !this->Entry.IsDraining && !this->Leaving &&
         !this->Evacuated;
}

bool ReplicaRecord::isUsable(common::MonotonicTime Now) const {
  return this->isListed() && !this->isPaused(Now) && this->isReachable(Now) &&
         !this->ColdStart.isUsedUp(Now);
}

ColdStartAllowance &ReplicaRecord::coldStart() { return this->ColdStart; }

const ColdStartAllowance &ReplicaRecord::coldStart() const {
  return this->ColdStart;
}

void ReplicaRecord::onSent(common::MonotonicTime Now) {
  this->Outstanding.insert(Now);
  this->ColdStart.onSent(Now);
}

void ReplicaRecord::onAttemptEnded(common::MonotonicTime SentAt) {
  const auto Found = this->Outstanding.find(SentAt);
  if (Found != this->Outstanding.end())
    this->Outstanding.erase(Found);
}

void ReplicaRecord::onAnswered(common::MonotonicTime Now,
                               std::chrono::nanoseconds Latency,
                               std::chrono::nanoseconds Typical) {
  const double Ratio =
      static_cast<double>(Latency.count()) /
      static_cast<double>(std::max<std::int64_t>(1, Typical.count()));
  const double Before = this->latencyRatio(Now);
  this->LatencyRatio =
      Before + LatencyRatioWeight * (std::min(Ratio, MaxLatencyRatio) - Before);
  const double UnexplainedBefore =
      this->decayedRatio(this->UnexplainedRatio, Now);
  const double Unexplained = Ratio / this->slowness(Now).value_or(1.0);
  this->UnexplainedRatio =
      UnexplainedBefore +
      LatencyRatioWeight *
          (std::min(Unexplained, MaxLatencyRatio) - UnexplainedBefore);
  this->LatencyRatioAt = Now;
  this->FailureRate = this->failureRate(Now) * (1.0 - FailureRateWeight);
  this->FailureRateAt = Now;
  this->NextBackOff = {};
  this->UnreachableUntil = {};
}

void ReplicaRecord::onBusy(common::MonotonicTime Now) {
  this->BusyUntil = Now + BusyPeriod;
  // A searcher may reject requests for reasons other than a full queue, and
  // then rejects the next one too. For the caller this is a failed attempt.
  this->onFailed(Now);
}

void ReplicaRecord::onFailed(common::MonotonicTime Now) {
  const double Before = this->failureRate(Now);
  this->FailureRate = Before + FailureRateWeight * (1.0 - Before);
  this->FailureRateAt = Now;
}

void ReplicaRecord::onUnreachable(common::MonotonicTime Now) {
  this->onFailed(Now);
  // Attempts that fail at the same time count as one observation.
  if (Now < this->UnreachableUntil)
    return;
  this->NextBackOff =
      std::clamp(this->NextBackOff * 2, InitialBackOff, MaxBackOff);
  this->UnreachableUntil = Now + this->NextBackOff;
}

void ReplicaRecord::onLeaving() { this->Leaving = true; }

// A later response may ask for a shorter pause, for example one that was sent
// before the last. The searcher must get nothing until both are over.
void ReplicaRecord::onPauseRequested(common::MonotonicTime Until) {
  this->PausedUntil = std::max(this->PausedUntil, Until);
}

void ReplicaRecord::onLoadReported(common::MonotonicTime Now,
                                   const SearcherLoad &Reported) {
  this->Load = Reported;
  this->LoadAt = Now;
}

bool ReplicaRecord::isReachable(common::MonotonicTime Now) const {
  if (Now < this->UnreachableUntil)
    return false;
  const bool IsRetrying = this->NextBackOff.count() > 0;
  return !IsRetrying || this->Outstanding.empty();
}

bool ReplicaRecord::isPaused(common::MonotonicTime Now) const {
  return Now < this->PausedUntil;
}

common::MonotonicTime ReplicaRecord::pausedUntil() const {
  return this->PausedUntil;
}

bool ReplicaRecord::isLeaving() const { return this->Leaving; }

bool ReplicaRecord::isUnresponsive(common::MonotonicTime Now,
                                   std::chrono::nanoseconds Typical) const {
  if (this->Outstanding.empty())
    return false;
  const std::chrono::nanoseconds Limit = std::max<std::chrono::nanoseconds>(
      MinUnresponsiveTime, UnresponsiveFactor * Typical);
  return Now - *this->Outstanding.begin() > Limit;
}

double ReplicaRecord::latencyRatio(common::MonotonicTime Now) const {
  return this->decayedRatio(this->LatencyRatio, Now);
}

std::optional<double> ReplicaRecord::slowness(common::MonotonicTime Now) const {
  return Now - this->LoadAt <= LoadDecayTime ? this->Load.Slowness
                                             : std::nullopt;
}

double ReplicaRecord::expectedRatio(common::MonotonicTime Now) const {
  const double Measured = this->latencyRatio(Now);
  const auto Reported = this->slowness(Now);
  if (!Reported)
    return Measured;
  const double FromReport =
      *Reported * this->decayedRatio(this->UnexplainedRatio, Now);
  return Measured + (FromReport - Measured) *
                        decayFactor(this->LoadAt, Now, LoadDecayTime);
}

double ReplicaRecord::decayedRatio(double Ratio,
                                   common::MonotonicTime Now) const {
  const double Baseline =
      this->Entry.ColdLeft.count() > 0 ? ColdLatencyRatio : 1.0;
  return Baseline +
         (Ratio - Baseline) * decayFactor(this->LatencyRatioAt, Now, DecayTime);
}

double ReplicaRecord::failureRate(common::MonotonicTime Now) const {
  return this->FailureRate * decayFactor(this->FailureRateAt, Now, DecayTime);
}

std::size_t ReplicaRecord::running() const { return this->Outstanding.size(); }

std::optional<double>
ReplicaRecord::queuePerSlot(common::MonotonicTime Now) const {
  if (Now - this->LoadAt > QueueReportValidity)
    return std::nullopt;
  return static_cast<double>(this->Load.Waiting) /
         std::max(1U, this->Load.Slots);
}

std::chrono::nanoseconds
ReplicaRecord::expectedDelay(common::MonotonicTime Now,
                             std::chrono::nanoseconds Typical) const {
  const double OwnAttempts = static_cast<double>(this->Outstanding.size());
  const double Slots = std::max(1U, this->Load.Slots);
  const double ReportedRequests = this->Load.Running + this->Load.Waiting;
  // Load from other VMs, as reported by the last reply.
  const double OtherLoad = std::max(0.0, ReportedRequests - OwnAttempts) /
                           Slots *
                           decayFactor(this->LoadAt, Now, LoadDecayTime);
  double Factor = this->expectedRatio(Now) * (1.0 + OwnAttempts + OtherLoad) *
                  (1.0 + DelayPerFailureRate * this->failureRate(Now));
  if (Now < this->BusyUntil)
    Factor *= 4.0;
  double Delay = Factor * static_cast<double>(Typical.count());
  // A searcher that leaves an attempt unanswered for longer than expected may
  // be paused or down, and is likely to stay so for a similar time.
  if (!this->Outstanding.empty()) {
    const std::chrono::nanoseconds Age = Now - *this->Outstanding.begin();
    const double Overdue = static_cast<double>(Age.count()) - Delay;
    if (Overdue > 0.0)
      Delay += 2.0 * Overdue;
  }
  return std::chrono::nanoseconds(static_cast<std::int64_t>(Delay));
}

} // namespace acaciacross::forwarding
