#include "Frontend/MissReasons.h"

#include <algorithm>

namespace acaciacross::frontend {

namespace {

bool hasShardWithoutReplica(const query::ServiceView &Service) {
  if (Service.Snapshots.empty())
    return true;
  const auto &Shards = Service.Snapshots.front().Shards;
  const auto IsUsable = [&](std::uint32_t Position) {
    return Service.Searchers[Position].Availability ==
           query::SearcherAvailability::Usable;
  };
  return std::any_of(Shards.begin(), Shards.end(),
                     [&](const query::ShardView &Shard) {
                       return std::none_of(Shard.Replicas.begin(),
                                           Shard.Replicas.end(), IsUsable);
                     });
}

} // namespace

std::vector<MissReason> missReasons(const configuration::ClassDefinition &Class,
                                    const metrics::ClassReport &Report,
                                    const query::ServiceView *Service) {
  const bool IsLate = Report.Answers > 0 &&
                      Report.LatencyAtTargetPercentile > Class.LatencyTarget;
  const bool IsPartial =
      Report.Answers > 0 && Report.MeanCoverage < Class.CoverageTarget;
  // While all requests wait or are refused, there are no answers whose latency
  // or coverage could show a missed target.
  const bool IsWaiting = Report.QueuedServiceRequests > 0;
  const bool IsWithoutReplica = !Service || hasShardWithoutReplica(*Service);
  std::vector<MissReason> Reasons;
  if (!IsLate && !IsPartial && !(Report.Answers == 0 && IsWaiting))
    return Reasons;
  if (IsWaiting)
    Reasons.push_back(MissReason::ConcurrencyLimit);
  if (Report.ExtraAttemptsLeft == 0)
    Reasons.push_back(MissReason::BudgetEmpty);
  if (IsWithoutReplica)
    Reasons.push_back(MissReason::MissingReplicas);
  if (IsLate && !IsWaiting)
    Reasons.push_back(MissReason::SlowUpstreams);
  return Reasons;
}

} // namespace acaciacross::frontend
