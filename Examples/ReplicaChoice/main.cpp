// Selects one of three replicas for each request, and another one for a hedge
// when the extra-load budget (5%) allows it.
#include <Common/SeededRandom.h>
#include <Limits/ExtraLoadBudget.h>
#include <Routing/PowerOfTwoSelector.h>

#include <iostream>

using namespace acaciacross;

namespace {

query::ServiceView makeService() {
  query::ServiceView Service;
  for (std::uint32_t I = 0; I < 3; ++I) {
    query::SearcherView Searcher;
    Searcher.Index = common::SearcherIndex(I);
    Searcher.Id = common::SearcherId("searcher-" + std::to_string(I));
    Service.Searchers.push_back(Searcher);
  }
  const query::ShardView Shard{
      common::ShardId(0), {0, 1'000}, 1'000, {0, 1, 2}};
  Service.Snapshots.push_back({common::SnapshotId("today"), {Shard}});
  return Service;
}

} // namespace

int main() {
  const query::ServiceView Service = makeService();
  auto Random = common::SeededRandom::fromSystem();
  routing::PowerOfTwoSelector Selector(Random);
  Selector.updateView(Service);
  limits::ExtraLoadBudget Budget(0.05, 10);

  std::uint32_t Hedges = 0;
  for (int Request = 0; Request < 100; ++Request) {
    const auto First =
        *Selector.select(Service, Service.Snapshots[0].Shards[0], {});
    Budget.onFirstAttempt();
    if (Budget.tryWithdraw(1)) {
      const std::uint32_t TriedReplicas[] = {First};
      Hedges += Selector.select(Service, Service.Snapshots[0].Shards[0],
                                TriedReplicas)
                    ? 1
                    : 0;
    }
  }
  std::cout << "hedges in 100 requests: " << Hedges << '\n';
  return Hedges == 5 ? 0 : 1;
}
