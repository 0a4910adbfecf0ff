#include "Forwarding/LoadAdmission.h"

#include <algorithm>
#include <vector>

namespace acaciacross::forwarding {

namespace {

// The rest of the target is for the caller's path, stragglers and a hedge.
constexpr double QueuedPart = 0.4;
// Queues of searchers empty within about a target; an earlier return would be
// rejected again.
constexpr std::chrono::milliseconds LeastRetryPause{200};

/// Time for which a new attempt would wait: behind others of this VM that have
/// no connection yet, and in the queue of the least loaded searcher.
std::chrono::duration<double, std::milli>
expectedWait(const ServiceBook &Book, const AttemptPort &Port,
             const common::ServiceName &Service, common::MonotonicTime Now,
             const RouteLatency &Usual) {
  std::optional<double> Queue;
  std::size_t Usable = 0;
  for (const auto &Each : Book.replicas(Service)) {
    if (!Each->isListed() || !Each->isReachable(Now))
      continue;
    ++Usable;
    if (const auto Told = Each->queuePerSlot(Now))
      Queue = std::min(Queue.value_or(*Told), *Told);
  }
  const double Ahead = static_cast<double>(Port.waiting(Service)) /
                       static_cast<double>(std::max<std::size_t>(1, Usable));
  return Ahead * std::chrono::duration<double, std::milli>(Usual.Typical) +
         Queue.value_or(0.0) *
             std::chrono::duration<double, std::milli>(Usual.Unloaded);
}

} // namespace

LoadAdmission::LoadAdmission(const AttemptPort &Sender) : Port(Sender) {}

std::optional<Refusal>
LoadAdmission::check(const ForwardRequest &Request,
                     std::span<const common::ServiceName> Services,
                     const ServiceBook &Book, common::MonotonicTime Now) const {
  const Route &Target = *Request.Target;
  const RouteLatency Usual = Book.latency(Target);
  std::vector<std::chrono::duration<double, std::milli>> Expected;
  Expected.reserve(Services.size());
  for (const common::ServiceName &Each : Services)
    Expected.push_back(expectedWait(Book, this->Port, Each, Now, Usual) +
                       Usual.Unloaded);
  // A query is answered when its least coverage is in.
  const std::size_t Needed = Target.Gather ? Target.Gather->minShards() : 1;
  const auto Last = Expected.begin() + static_cast<std::ptrdiff_t>(Needed) - 1;
  std::ranges::nth_element(Expected, Last);
  const std::chrono::duration<double, std::milli> Limit =
      QueuedPart * Target.LatencyTarget;
  const auto Wait = *Last;
  if (Wait <= Limit)
    return std::nullopt;
  const auto Whole = [](auto Time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Time);
  };
  return Refusal{common::ResultCode::Overloaded,
                 std::max(LeastRetryPause, Whole(Wait - Limit)), Whole(Wait),
                 Whole(Limit)};
}

} // namespace acaciacross::forwarding
