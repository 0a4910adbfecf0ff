#ifndef ACACIACROSS_ROUTING_POWEROFTWOSELECTOR_H
#define ACACIACROSS_ROUTING_POWEROFTWOSELECTOR_H

#include "Common/RandomSource.h"
#include "Query/ReplicaSelector.h"
#include "Routing/SearcherLoad.h"

#include <vector>

namespace acaciacross::routing {

/// Selects the less loaded of two random usable replicas (power of two
/// choices). Replicas that fail get few attempts while another one is
/// available. One instance per traffic thread; a selection does not allocate
/// memory.
class PowerOfTwoSelector final : public query::ReplicaSelector {
public:
  explicit PowerOfTwoSelector(common::RandomSource &Random);

  /// Applies the newest view. Its availability, shares and quotas also apply to
  /// queries that are pinned to an older view.
  void updateView(const query::ServiceView &Newest);

  std::optional<std::uint32_t>
  select(const query::ServiceView &Service, const query::ShardView &Shard,
         std::span<const std::uint32_t> Excluded) override;
  void onAttemptStarted(common::SearcherIndex Searcher) override;
  void onAttemptEnded(common::SearcherIndex Searcher,
                      query::AttemptStatus Status) override;

  /// Sets the number of connections to a searcher that count against its quota
  /// although no attempt uses them.
  void setReservedConnections(common::SearcherIndex Searcher,
                              std::uint32_t Count);

  /// Returns the number of attempts in flight to a searcher.
  std::uint32_t inFlight(common::SearcherIndex Searcher) const;

private:
  using Positions = std::span<const std::uint32_t>;

  /// Whether a replica that is not failing is unavailable only because its
  /// quota is used up.
  bool hasBusyHealthyReplica(const query::ServiceView &Service,
                             const query::ShardView &Shard,
                             Positions Excluded) const;
  std::optional<std::uint32_t>
  chooseBetterOfTwo(const query::ServiceView &Service,
                    const query::ShardView &Shard, Positions Excluded);
  SearcherLoad &loadOf(common::SearcherIndex Searcher);
  bool isEligible(const query::ServiceView &Service, std::uint32_t Position,
                  Positions Excluded) const;
  float costOf(const query::ServiceView &Service, std::uint32_t Position) const;
  std::optional<std::uint32_t>
  pickRandom(const query::ServiceView &Service, const query::ShardView &Shard,
             Positions Excluded, std::optional<std::uint32_t> AlreadyPicked);
  std::optional<std::uint32_t>
  pickByScan(const query::ServiceView &Service, const query::ShardView &Shard,
             Positions Excluded, std::optional<std::uint32_t> AlreadyPicked);

  common::RandomSource &Random;
  /// Whether the current selection leaves out failing searchers.
  bool ExcludesFailing = true;
  /// By SearcherIndex.
  std::vector<SearcherLoad> Loads;
};

} // namespace acaciacross::routing

#endif
