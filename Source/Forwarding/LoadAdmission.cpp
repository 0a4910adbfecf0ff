#include "Forwarding/LoadAdmission.h"

#include <algorithm>
#include <vector>

namespace acaciacross::forwarding {

namespace {

// Share of the latency target. The rest covers the network path to the caller,
// slow attempts and a hedge.
constexpr double MaxQueueingShare = 0.4;
// Queues of searchers empty within about one latency target; an earlier retry
// would be rejected again.
constexpr std::chrono::milliseconds MinRetryDelay{200};

/// Expected wait of a new attempt: behind attempts of this VM that have no
/// connection yet, and in the queue of the least loaded searcher.
std::chrono::duration<double, std::milli>
expectedWait(const ServiceRegistry &Registry, const AttemptSender &Sender,
             const Route &Target, const common::ServiceName &Service,
             common::MonotonicTime Now, const RouteLatency &Latency) {
  std::optional<double> Queue;
  std::size_t Usable = 0;
  for (const auto &Replica : Registry.replicas(Service, Target)) {
    if (!Replica->isUsable(Now))
      continue;
    ++Usable;
    if (const auto Reported = Replica->queuePerSlot(Now))
      Queue = std::min(Queue.value_or(*Reported), *Reported);
  }
  const double WaitingPerReplica =
      static_cast<double>(Sender.waitingCount(Service)) /
      static_cast<double>(std::max<std::size_t>(1, Usable));
  return WaitingPerReplica *
             std::chrono::duration<double, std::milli>(Latency.Typical) +
         Queue.value_or(0.0) *
             std::chrono::duration<double, std::milli>(Latency.Unloaded);
}

} // namespace

LoadAdmission::LoadAdmission(const AttemptSender &Sender) : Sender(Sender) {}

std::optional<Refusal>
LoadAdmission::check(const ForwardRequest &Request,
                     std::span<const common::ServiceName> Services,
                     const ServiceRegistry &Registry,
                     common::MonotonicTime Now) const {
  const Route &Target = *Request.Target;
  const RouteLatency Latency = Registry.latency(Target);
  std::vector<std::chrono::duration<double, std::milli>> ExpectedTimes;
  ExpectedTimes.reserve(Services.size());
  for (const common::ServiceName &Service : Services)
    ExpectedTimes.push_back(
        expectedWait(Registry, this->Sender, Target, Service, Now, Latency) +
        Latency.Unloaded);
  // A query is answered once its minimum number of shards has answered.
  const std::size_t MinServices =
      Target.Gather ? Target.Gather->minShards() : 1;
  const auto SlowestNeeded =
      ExpectedTimes.begin() + static_cast<std::ptrdiff_t>(MinServices) - 1;
  std::ranges::nth_element(ExpectedTimes, SlowestNeeded);
  const std::chrono::duration<double, std::milli> Limit =
      MaxQueueingShare * Target.LatencyTarget;
  const auto ExpectedTime = *SlowestNeeded;
  if (ExpectedTime <= Limit)
    return std::nullopt;
  const auto ToMilliseconds = [](auto Time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Time);
  };
  return Refusal{common::ResultCode::Overloaded,
                 std::max(MinRetryDelay, ToMilliseconds(ExpectedTime - Limit)),
                 ToMilliseconds(ExpectedTime), ToMilliseconds(Limit)};
}

} // namespace acaciacross::forwarding
