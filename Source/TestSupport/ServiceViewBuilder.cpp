#include "TestSupport/ServiceViewBuilder.h"

namespace acaciacross::testsupport {

namespace {

constexpr std::uint64_t KeysPerShard = 1'000;
constexpr std::uint64_t DocumentsPerShard = 1'000;

} // namespace

std::shared_ptr<query::ServiceView> ServiceViewBuilder::build() const {
  auto View = std::make_shared<query::ServiceView>();
  query::SnapshotView Map{common::SnapshotId("s1"), {}};
  for (std::uint32_t I = 0; I < this->Shards; ++I)
    Map.Shards.push_back({common::ShardId(I),
                          {I * KeysPerShard, (I + 1) * KeysPerShard},
                          DocumentsPerShard,
                          {}});
  for (std::uint32_t I = 0; I < this->Searchers; ++I) {
    query::SearcherView Searcher;
    Searcher.Index = common::SearcherIndex(I);
    Searcher.Id = common::SearcherId("searcher-" + std::to_string(I));
    Searcher.Slots = this->Slots;
    Searcher.ConnectionQuota = this->ConnectionQuota;
    View->Searchers.push_back(Searcher);
    Map.Shards[I % this->Shards].Replicas.push_back(I);
  }
  View->Snapshots.push_back(Map);
  return View;
}

} // namespace acaciacross::testsupport
