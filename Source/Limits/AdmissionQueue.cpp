#include "Limits/AdmissionQueue.h"

#include <algorithm>
#include <utility>

namespace acaciacross::limits {

namespace {

constexpr std::uint32_t WindowSamples = 200;
constexpr std::uint32_t FinishedPerUpdate = 10;
constexpr double MedianFraction = 0.5;

// If the slowest executions alone take as long as the target, refusing all
// waiting requests would not make them faster. A wait of a third of the target
// still absorbs bursts.
constexpr int MinWaitDivisor = 3;

// The expected wait is based on averages. A request that is expected to use
// half of its maximum wait seldom uses all of it.
constexpr int ExpectedWaitDivisor = 2;

// The newest interval enters the mean with the inverse of this as weight.
constexpr int DrainIntervalSmoothing = 32;

void updateLatencies(ClassQueue &Queue) {
  Queue.FinishedSinceUpdate = 0;
  Queue.TypicalLatency = *Queue.Latencies.quantile(MedianFraction);
  Queue.TargetPercentileLatency =
      *Queue.Latencies.quantile(Queue.Settings.TargetPercentile / 100.0);
}

} // namespace

AdmissionQueue::AdmissionQueue(AdaptiveLimitSettings Bounds) : Limit(Bounds) {}

void AdmissionQueue::setBounds(AdaptiveLimitSettings Bounds) {
  this->Limit.reconfigure(Bounds);
}

void AdmissionQueue::configure(const common::ClassName &Class,
                               AdmissionClass Settings) {
  this->Queues.try_emplace(Class.Value, WindowSamples).first->second.Settings =
      Settings;
}

void AdmissionQueue::remove(const common::ClassName &Class) {
  this->Queues.erase(Class.Value);
}

std::size_t AdmissionQueue::classCount() const { return this->Queues.size(); }

AdmissionDecision AdmissionQueue::offer(const AdmissionEntry &Entry,
                                        common::MonotonicTime Now) {
  ClassQueue &Queue = this->Queues.at(Entry.Class.Value);
  if (!this->canFinish(Queue, Entry, Now))
    return AdmissionDecision::RefusedDeadline;
  if (Queue.Waiting.empty())
    Queue.VirtualTime = std::max(Queue.VirtualTime, this->VirtualNow);
  if (this->queued() == 0 && this->Running < this->Limit.value()) {
    this->recordStart(Queue);
    return AdmissionDecision::Admitted;
  }
  const bool IsTooLate =
      this->expectedWait(Queue) > this->maxWait(Queue) / ExpectedWaitDivisor;
  if (IsTooLate || Queue.Waiting.size() >= Queue.Settings.MaxQueued)
    return AdmissionDecision::RefusedOverloaded;
  Queue.Waiting.push_back(Entry);
  return AdmissionDecision::Queued;
}

void AdmissionQueue::onFinished(const common::ClassName &Class,
                                common::MonotonicTime Now,
                                std::chrono::nanoseconds Latency,
                                double ShedShare) {
  const bool IsUsedUp = this->Running >= this->Limit.value();
  this->Running = this->Running > 0 ? this->Running - 1 : 0;
  this->Limit.onFinished(Now, Latency, ShedShare, IsUsedUp);
  this->updateDrainInterval(Now);
  ClassQueue &Queue = this->Queues.at(Class.Value);
  Queue.Latencies.add(Latency);
  if (++Queue.FinishedSinceUpdate >= FinishedPerUpdate)
    updateLatencies(Queue);
}

std::vector<AdmissionEntry>
AdmissionQueue::takeReady(common::MonotonicTime Now) {
  this->expire(Now);
  std::vector<AdmissionEntry> Ready;
  while (this->Running < this->Limit.value()) {
    ClassQueue *Queue = this->nextQueue();
    if (!Queue)
      break;
    Ready.push_back(Queue->Waiting.front());
    Queue->Waiting.pop_front();
    this->recordStart(*Queue);
  }
  return Ready;
}

std::vector<ExpiredEntry>
AdmissionQueue::takeExpired(common::MonotonicTime Now) {
  this->expire(Now);
  return std::exchange(this->Expired, {});
}

void AdmissionQueue::expire(common::MonotonicTime Now) {
  for (auto &ClassEntry : this->Queues) {
    ClassQueue &Queue = ClassEntry.second;
    const auto IsExpired = [&](const AdmissionEntry &Entry) {
      return Now >= this->expiryOf(Queue, Entry);
    };
    for (const AdmissionEntry &Entry : Queue.Waiting) {
      if (!IsExpired(Entry))
        continue;
      const bool IsDeadline = Now + Queue.TypicalLatency >= Entry.Deadline;
      this->Expired.push_back({Entry, IsDeadline
                                          ? common::ResultCode::DeadlineTooShort
                                          : common::ResultCode::Overloaded});
    }
    std::erase_if(Queue.Waiting, IsExpired);
  }
}

std::optional<common::MonotonicTime> AdmissionQueue::nextExpiry() const {
  std::optional<common::MonotonicTime> Next;
  for (const auto &[Name, Queue] : this->Queues)
    for (const AdmissionEntry &Entry : Queue.Waiting) {
      const common::MonotonicTime Expiry = this->expiryOf(Queue, Entry);
      Next = std::min(Next.value_or(Expiry), Expiry);
    }
  return Next;
}

std::uint32_t AdmissionQueue::limit() const { return this->Limit.value(); }

std::uint32_t AdmissionQueue::running() const { return this->Running; }

std::size_t AdmissionQueue::queued() const {
  std::size_t Count = 0;
  for (const auto &[Name, Queue] : this->Queues)
    Count += Queue.Waiting.size();
  return Count;
}

bool AdmissionQueue::canFinish(const ClassQueue &Queue,
                               const AdmissionEntry &Entry,
                               common::MonotonicTime Now) const {
  // While no request runs, no new latency is measured. So one request is
  // admitted, or all later requests would be refused after a slow minute.
  if (this->Running == 0)
    return Now < Entry.Deadline;
  return Now + Queue.TypicalLatency < Entry.Deadline;
}

// A request that waits this long still meets the latency target of its class if
// its execution takes the target percentile of the measured latencies.
std::chrono::nanoseconds
AdmissionQueue::maxWait(const ClassQueue &Queue) const {
  const std::chrono::nanoseconds Target = Queue.Settings.LatencyTarget;
  return std::max(Target - Queue.TargetPercentileLatency,
                  Target / MinWaitDivisor);
}

// Ahead of a new request are the requests of its own class, and of each other
// class at most as many as its weight allows in the same time.
std::chrono::nanoseconds
AdmissionQueue::expectedWait(const ClassQueue &Queue) const {
  const auto OwnClassCount = static_cast<double>(Queue.Waiting.size() + 1);
  double RequestsAhead = OwnClassCount;
  for (const auto &[Name, Other] : this->Queues) {
    if (&Other == &Queue)
      continue;
    const double Share = Other.Settings.Weight / Queue.Settings.Weight;
    RequestsAhead += std::min(static_cast<double>(Other.Waiting.size()),
                              OwnClassCount * Share);
  }
  const std::chrono::nanoseconds Interval =
      this->DrainInterval.value_or(Queue.TypicalLatency / this->Limit.value());
  return std::chrono::nanoseconds(static_cast<std::int64_t>(
      RequestsAhead * static_cast<double>(Interval.count())));
}

// The interval is measured, because the limit and the latencies change too
// often to derive the rate from them.
void AdmissionQueue::updateDrainInterval(common::MonotonicTime Now) {
  if (this->LastFinishedAt) {
    const std::chrono::nanoseconds Last = Now - *this->LastFinishedAt;
    const std::chrono::nanoseconds Mean = this->DrainInterval.value_or(Last);
    this->DrainInterval = Mean + (Last - Mean) / DrainIntervalSmoothing;
  }
  if (this->queued() > 0)
    this->LastFinishedAt = Now;
  else
    this->LastFinishedAt.reset();
}

common::MonotonicTime
AdmissionQueue::expiryOf(const ClassQueue &Queue,
                         const AdmissionEntry &Entry) const {
  return std::min(Entry.ArrivedAt + this->maxWait(Queue),
                  Entry.Deadline - Queue.TypicalLatency);
}

void AdmissionQueue::recordStart(ClassQueue &Queue) {
  this->VirtualNow = Queue.VirtualTime;
  Queue.VirtualTime += 1.0 / Queue.Settings.Weight;
  ++this->Running;
}

// Start-time fair queueing: the class with the least service relative to its
// weight is next. A class without waiting requests does not accumulate credit.
ClassQueue *AdmissionQueue::nextQueue() {
  ClassQueue *Next = nullptr;
  for (auto &[Name, Queue] : this->Queues) {
    if (Queue.Waiting.empty())
      continue;
    if (!Next || Queue.VirtualTime < Next->VirtualTime)
      Next = &Queue;
  }
  return Next;
}

} // namespace acaciacross::limits
