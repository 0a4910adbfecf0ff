#include "Forwarding/ReplicaRecord.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace acaciacross::forwarding {

namespace {

// Weight of the newest sample in the moving averages.
constexpr double SlownessWeight = 0.25;
constexpr double FailureWeight = 0.25;
// Old observations fade with this time constant, so that a searcher that was
// slow or failing is tried again a few seconds after its last attempt.
constexpr std::chrono::milliseconds MemoryTime{3'000};
constexpr double MaxSlowness = 30.0;
// A searcher is slower right after its start; replies correct this guess.
constexpr double ColdSlowness = 1.6;
// An attempt at a searcher that fails half of them needs a second attempt,
// which costs several times the usual latency.
constexpr double DelayPerFailure = 10.0;
// A full queue lasts about as long as the work in it.
constexpr std::chrono::milliseconds BusyTime{100};
// What a reply says of the load holds only about as long as a request runs.
constexpr std::chrono::milliseconds LoadMemory{100};
// Long enough that some reply falls into it, short enough that requests are
// taken again soon after a burst.
constexpr std::chrono::milliseconds QueueMemory{250};
constexpr std::chrono::milliseconds FirstBackOff{250};
constexpr std::chrono::milliseconds MaxBackOff{1'000};

// Searchers stand still for up to a quarter of a second now and then, and a
// tenth of the attempts lasts several times the usual latency.
constexpr std::chrono::milliseconds LeastSilence{300};
constexpr int SilentFactor = 10;

double fade(common::MonotonicTime Since, common::MonotonicTime Now,
            std::chrono::milliseconds Memory) {
  const std::chrono::duration<double> Age = Now - Since;
  const std::chrono::duration<double> Constant = Memory;
  return std::exp(-Age / Constant);
}

} // namespace

ReplicaRecord::ReplicaRecord(SearcherEntry Published)
    : Entry(std::move(Published)) {}

const SearcherEntry &ReplicaRecord::entry() const { return this->Entry; }

void ReplicaRecord::update(SearcherEntry Published) {
  const bool IsRestarted = Published.BornMs != this->Entry.BornMs ||
                           Published.Where != this->Entry.Where;
  this->Entry = std::move(Published);
  this->Removed = false;
  if (!IsRestarted)
    return;
  this->Slowness = 1.0;
  this->Failures = 0.0;
  this->UnreachableUntil = {};
  this->NextBackOff = {};
}

void ReplicaRecord::markRemoved() { this->Removed = true; }

bool ReplicaRecord::isListed() const {
  return !this->Removed && !this->Entry.IsDraining;
}

void ReplicaRecord::onSent(common::MonotonicTime Now) {
  this->Outstanding.insert(Now);
}

void ReplicaRecord::onEnded(common::MonotonicTime SentAt) {
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
  const double Before = this->slowness(Now);
  this->Slowness =
      Before + SlownessWeight * (std::min(Ratio, MaxSlowness) - Before);
  this->SlownessAt = Now;
  this->Failures = this->failures(Now) * (1.0 - FailureWeight);
  this->FailuresAt = Now;
  this->NextBackOff = {};
  this->UnreachableUntil = {};
}

void ReplicaRecord::onBusy(common::MonotonicTime Now) {
  this->BusyUntil = Now + BusyTime;
  // A searcher may reject requests for other reasons than a full queue, which
  // the next one does not change; for the caller it is a failed attempt.
  this->onFailed(Now);
}

void ReplicaRecord::onFailed(common::MonotonicTime Now) {
  const double Before = this->failures(Now);
  this->Failures = Before + FailureWeight * (1.0 - Before);
  this->FailuresAt = Now;
}

void ReplicaRecord::onUnreachable(common::MonotonicTime Now) {
  this->onFailed(Now);
  // Several attempts that fail together are one observation.
  if (Now < this->UnreachableUntil)
    return;
  this->NextBackOff =
      std::clamp(this->NextBackOff * 2, FirstBackOff, MaxBackOff);
  this->UnreachableUntil = Now + this->NextBackOff;
}

void ReplicaRecord::onLoad(common::MonotonicTime Now,
                           const SearcherLoad &Said) {
  this->Load = Said;
  this->LoadAt = Now;
}

bool ReplicaRecord::isReachable(common::MonotonicTime Now) const {
  if (Now < this->UnreachableUntil)
    return false;
  const bool IsOnTrial = this->NextBackOff.count() > 0;
  return !IsOnTrial || this->Outstanding.empty();
}

bool ReplicaRecord::isSilent(common::MonotonicTime Now,
                             std::chrono::nanoseconds Typical) const {
  if (this->Outstanding.empty())
    return false;
  const std::chrono::nanoseconds Limit =
      std::max<std::chrono::nanoseconds>(LeastSilence, SilentFactor * Typical);
  return Now - *this->Outstanding.begin() > Limit;
}

double ReplicaRecord::slowness(common::MonotonicTime Now) const {
  const double Usual = this->Entry.ColdLeft.count() > 0 ? ColdSlowness : 1.0;
  return Usual +
         (this->Slowness - Usual) * fade(this->SlownessAt, Now, MemoryTime);
}

double ReplicaRecord::failures(common::MonotonicTime Now) const {
  return this->Failures * fade(this->FailuresAt, Now, MemoryTime);
}

std::size_t ReplicaRecord::running() const { return this->Outstanding.size(); }

std::optional<double>
ReplicaRecord::queuePerSlot(common::MonotonicTime Now) const {
  if (Now - this->LoadAt > QueueMemory)
    return std::nullopt;
  return static_cast<double>(this->Load.Waiting) /
         std::max(1U, this->Load.Slots);
}

std::chrono::nanoseconds
ReplicaRecord::expectedDelay(common::MonotonicTime Now,
                             std::chrono::nanoseconds Typical) const {
  const double Own = static_cast<double>(this->Outstanding.size());
  const double Slots = std::max(1U, this->Load.Slots);
  const double InSystem = this->Load.Running + this->Load.Waiting;
  // Work of other VMs, as the last reply told it.
  const double Others = std::max(0.0, InSystem - Own) / Slots *
                        fade(this->LoadAt, Now, LoadMemory);
  double Factor = this->slowness(Now) * (1.0 + Own + Others) *
                  (1.0 + DelayPerFailure * this->failures(Now));
  if (Now < this->BusyUntil)
    Factor *= 4.0;
  double Delay = Factor * static_cast<double>(Typical.count());
  // A searcher that has left an attempt unanswered for longer than expected may
  // be paused or gone, and will stay so for a time of the same order.
  if (!this->Outstanding.empty()) {
    const std::chrono::nanoseconds Age = Now - *this->Outstanding.begin();
    const double Overdue = static_cast<double>(Age.count()) - Delay;
    if (Overdue > 0.0)
      Delay += 2.0 * Overdue;
  }
  return std::chrono::nanoseconds(static_cast<std::int64_t>(Delay));
}

} // namespace acaciacross::forwarding
