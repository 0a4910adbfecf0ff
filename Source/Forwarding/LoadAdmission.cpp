#include "Forwarding/LoadAdmission.h"

#include <algorithm>
#include <cstddef>
#include <vector>

namespace acaciacross::forwarding {

namespace {

using std::chrono::milliseconds;

// Share of the latency target. The rest covers the network path to the caller,
// slow attempts and a hedge.
constexpr double MaxQueueingShare = 0.4;
// Queues of searchers empty within about one latency target; an earlier retry
// would be rejected again.
constexpr milliseconds MinRetryDelay{200};
// Share of the allowed wait that requests which leave room for a route, or for
// other callers, may use up. At the whole of it, they would take each place
// that becomes free before the others ask.
constexpr double YieldingShare = 0.5;
// Requests that were refused together would be refused again if they returned
// together.
constexpr double RetrySpread = 0.5;

/// Expected wait of a new attempt: behind attempts of this VM that have no
/// connection yet and go before it, and in the queue of the least loaded
/// searcher.
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
      static_cast<double>(Sender.waitingCountUpTo(Service, Target.Priority)) /
      static_cast<double>(std::max<std::size_t>(1, Usable));
  return WaitingPerReplica *
             std::chrono::duration<double, std::milli>(Latency.Typical) +
         Queue.value_or(0.0) *
             std::chrono::duration<double, std::milli>(Latency.Unloaded);
}

milliseconds toMilliseconds(std::chrono::duration<double, std::milli> Time) {
  return std::chrono::duration_cast<milliseconds>(Time);
}

} // namespace

LoadAdmission::LoadAdmission(const AttemptSender &Sender, DemandShares &Demand,
                             common::RandomSource &Random)
    : Sender(Sender), Demand(Demand), Random(Random) {}

std::optional<Refusal>
LoadAdmission::check(const ForwardRequest &Request,
                     std::span<const common::ServiceName> Services,
                     const ServiceRegistry &Registry,
                     common::MonotonicTime Now) const {
  ExpectedAnswer Own = this->expect(*Request.Target, Services, Registry, Now);
  if (Own.AllowedWait.count() > 0.0 && this->Demand.isPressing(Request, Now))
    Own.AllowedWait *= YieldingShare;
  std::optional<Refusal> Refused;
  if (Own.Wait > Own.AllowedWait)
    Refused = this->refuse(Own);
  ExpectedAnswer Others;
  const auto IsShort = [&](const RouteDemand &Other) {
    Others = this->expect(Other.Target, Other.Services, Registry, Now);
    return Others.AllowedWait.count() > 0.0 &&
           Others.Wait > YieldingShare * Others.AllowedWait;
  };
  if (!Refused) {
    if (const Route *Other =
            this->Demand.yieldsTo(Request, Services, Now, IsShort)) {
      Refused = this->refuse(Others);
      Refused->YieldsTo = Other->Name;
    }
  }
  this->Demand.record(Request, !Refused, Now);
  return Refused;
}

ExpectedAnswer LoadAdmission::expect(
    const Route &Target, std::span<const common::ServiceName> Services,
    const ServiceRegistry &Registry, common::MonotonicTime Now) const {
  const RouteLatency Latency = Registry.latency(Target);
  std::vector<std::chrono::duration<double, std::milli>> Waits;
  Waits.reserve(Services.size());
  for (const common::ServiceName &Service : Services)
    Waits.push_back(
        expectedWait(Registry, this->Sender, Target, Service, Now, Latency));
  // A query is answered once its minimum number of shards has answered.
  const std::size_t MinServices =
      Target.Gather ? Target.Gather->minShards() : 1;
  const auto SlowestNeeded =
      Waits.begin() + static_cast<std::ptrdiff_t>(MinServices) - 1;
  std::ranges::nth_element(Waits, SlowestNeeded);
  return {*SlowestNeeded,
          MaxQueueingShare * Target.LatencyTarget -
              std::chrono::duration<double, std::milli>(Latency.Unloaded),
          Latency.Unloaded};
}

Refusal LoadAdmission::refuse(const ExpectedAnswer &Expected) const {
  const milliseconds Shortest = std::max(
      MinRetryDelay, toMilliseconds(Expected.Wait - Expected.AllowedWait));
  Refusal Refused;
  Refused.Code = common::ResultCode::Overloaded;
  Refused.RetryAfter = toMilliseconds(
      (1.0 + RetrySpread * this->Random.unitInterval()) * Shortest);
  Refused.Expected = toMilliseconds(Expected.Wait + Expected.Unloaded);
  Refused.Allowed = toMilliseconds(Expected.AllowedWait + Expected.Unloaded);
  return Refused;
}

} // namespace acaciacross::forwarding
