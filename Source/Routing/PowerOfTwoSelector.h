#ifndef ACACIACROSS_ROUTING_POWEROFTWOSELECTOR_H
#define ACACIACROSS_ROUTING_POWEROFTWOSELECTOR_H

#include "Common/RandomSource.h"
#include "Query/ReplicaSelector.h"
#include "Routing/SearcherLoad.h"

#include <vector>

namespace acaciacross::routing {

/// Takes the less loaded of two random usable replicas; those that fail get few
/// attempts while another is free. One per traffic thread; the choice allocates
/// nothing.
class PowerOfTwoSelector final : public query::ReplicaSelector {
public:
  explicit PowerOfTwoSelector(common::RandomSource &Random);

  /// Applies the newest view. Queries that are pinned to older views are held
  /// to its availability, shares and quotas, too.
  void updateView(const query::ServiceView &Newest);

  std::optional<std::uint32_t>
  select(const query::ServiceView &Service, const query::ShardView &Shard,
         std::span<const std::uint32_t> Excluded) override;
  void onAttemptStarted(common::SearcherIndex Searcher) override;
  void onAttemptEnded(common::SearcherIndex Searcher,
                      query::AttemptStatus Status) override;

  /// Connections to a searcher that are taken from the quota without a running
  /// attempt.
  void setHeld(common::SearcherIndex Searcher, std::uint32_t Count);

  /// Attempts that run on a searcher.
  std::uint32_t inFlight(common::SearcherIndex Searcher) const;

private:
  using Positions = std::span<const std::uint32_t>;

  /// Whether a replica that does not fail is only held back by its quota.
  bool isHealthyOneBusy(const query::ServiceView &Service,
                        const query::ShardView &Shard,
                        Positions Excluded) const;
  std::optional<std::uint32_t> chooseOfTwo(const query::ServiceView &Service,
                                           const query::ShardView &Shard,
                                           Positions Excluded);
  SearcherLoad &loadOf(common::SearcherIndex Searcher);
  bool isEligible(const query::ServiceView &Service, std::uint32_t Position,
                  Positions Excluded) const;
  float costOf(const query::ServiceView &Service, std::uint32_t Position) const;
  std::optional<std::uint32_t> pick(const query::ServiceView &Service,
                                    const query::ShardView &Shard,
                                    Positions Excluded,
                                    std::optional<std::uint32_t> Other);
  std::optional<std::uint32_t> pickByScan(const query::ServiceView &Service,
                                          const query::ShardView &Shard,
                                          Positions Excluded,
                                          std::optional<std::uint32_t> Other);

  common::RandomSource &Random;
  /// The choice under way leaves out failing searchers.
  bool AvoidsFailing = true;
  /// By SearcherIndex.
  std::vector<SearcherLoad> Loads;
};

} // namespace acaciacross::routing

#endif
