#include "Limits/AdmissionQueue.h"

#include <algorithm>
#include <utility>

namespace acaciacross::limits {

namespace {

constexpr std::uint32_t WindowSamples = 200;
constexpr std::uint32_t FinishedPerMeasure = 10;
constexpr double MedianFraction = 0.5;

// When the slowest executions alone take as long as the target, refusing all
// that wait would not make them faster; a wait of a third still evens out
// bursts.
constexpr int SmallestWaitDivisor = 3;

// The expected wait rests on averages; a request that is expected to use up
// half of its longest wait seldom uses up all of it.
constexpr int ExpectedWaitDivisor = 2;

// Weight of the newest interval in the mean one.
constexpr int DrainSmoothing = 32;

void measure(ClassQueue &Queue) {
  Queue.FinishedSinceMeasure = 0;
  Queue.TypicalLatency = *Queue.Latencies.quantile(MedianFraction);
  Queue.HighLatency =
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
    this->charge(Queue);
    return AdmissionDecision::Admitted;
  }
  const bool IsTooLate = this->expectedWait(Queue) >
                         this->longestWait(Queue) / ExpectedWaitDivisor;
  if (IsTooLate || Queue.Waiting.size() >= Queue.Settings.MaxQueued)
    return AdmissionDecision::RefusedOverloaded;
  Queue.Waiting.push_back(Entry);
  return AdmissionDecision::Queued;
}

void AdmissionQueue::onFinished(const common::ClassName &Class,
                                common::MonotonicTime Now,
                                std::chrono::nanoseconds Latency,
                                double ShedPart) {
  const bool IsUsedUp = this->Running >= this->Limit.value();
  this->Running = this->Running > 0 ? this->Running - 1 : 0;
  this->Limit.onFinished(Now, Latency, ShedPart, IsUsedUp);
  this->measureDrain(Now);
  ClassQueue &Queue = this->Queues.at(Class.Value);
  Queue.Latencies.add(Latency);
  if (++Queue.FinishedSinceMeasure >= FinishedPerMeasure)
    measure(Queue);
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
    this->charge(*Queue);
  }
  return Ready;
}

std::vector<ExpiredEntry>
AdmissionQueue::takeExpired(common::MonotonicTime Now) {
  this->expire(Now);
  return std::exchange(this->Expired, {});
}

void AdmissionQueue::expire(common::MonotonicTime Now) {
  for (auto &Named : this->Queues) {
    ClassQueue &Queue = Named.second;
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
  // With nothing running there is no newer measurement to come: one request is
  // let through, or a slow minute would have all later requests refused.
  if (this->Running == 0)
    return Now < Entry.Deadline;
  return Now + Queue.TypicalLatency < Entry.Deadline;
}

// A request that waits this long still meets its class's target when its
// execution takes as long as the target percentile of the measured ones.
std::chrono::nanoseconds
AdmissionQueue::longestWait(const ClassQueue &Queue) const {
  const std::chrono::nanoseconds Target = Queue.Settings.LatencyTarget;
  return std::max(Target - Queue.HighLatency, Target / SmallestWaitDivisor);
}

// Ahead of a new request are those of its class, and of each other class at
// most as many as its weight gives it meanwhile.
std::chrono::nanoseconds
AdmissionQueue::expectedWait(const ClassQueue &Queue) const {
  const auto Turns = static_cast<double>(Queue.Waiting.size() + 1);
  double Ahead = Turns;
  for (const auto &[Name, Other] : this->Queues) {
    if (&Other == &Queue)
      continue;
    const double Share = Other.Settings.Weight / Queue.Settings.Weight;
    Ahead += std::min(static_cast<double>(Other.Waiting.size()), Turns * Share);
  }
  const std::chrono::nanoseconds Interval =
      this->DrainInterval.value_or(Queue.TypicalLatency / this->Limit.value());
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(Ahead * static_cast<double>(Interval.count())));
}

// The limit and the latencies change too often to tell the rate from them.
void AdmissionQueue::measureDrain(common::MonotonicTime Now) {
  if (this->DrainingSince) {
    const std::chrono::nanoseconds Last = Now - *this->DrainingSince;
    const std::chrono::nanoseconds Mean = this->DrainInterval.value_or(Last);
    this->DrainInterval = Mean + (Last - Mean) / DrainSmoothing;
  }
  if (this->queued() > 0)
    this->DrainingSince = Now;
  else
    this->DrainingSince.reset();
}

common::MonotonicTime
AdmissionQueue::expiryOf(const ClassQueue &Queue,
                         const AdmissionEntry &Entry) const {
  return std::min(Entry.Arrived + this->longestWait(Queue),
                  Entry.Deadline - Queue.TypicalLatency);
}

void AdmissionQueue::charge(ClassQueue &Queue) {
  this->VirtualNow = Queue.VirtualTime;
  Queue.VirtualTime += 1.0 / Queue.Settings.Weight;
  ++this->Running;
}

// Start-time fair queueing: the class that has had the least service for its
// weight is next. A class that had nothing waiting does not collect credit.
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
