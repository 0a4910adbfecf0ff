#ifndef ACACIACROSS_QUERY_ATTEMPTBUDGET_H
#define ACACIACROSS_QUERY_ATTEMPTBUDGET_H

#include "Query/LoadBudget.h"
#include "Query/QueryStatistics.h"
#include "Query/ShardProgress.h"

#include <cstdint>

namespace acaciacross::query {

/// Charges the attempts of one query to the extra-load budget and counts them.
class AttemptBudget {
public:
  /// Both must outlive this.
  AttemptBudget(LoadBudget &Budget, QueryStatistics &Statistics);

  /// Charges the next attempt at a shard that has none running; false when the
  /// budget does not allow it. A shard's first attempt and a replacement of one
  /// that was not sent are free.
  bool tryChargeNext(ShardProgress &Progress);
  bool tryChargeHedge();
  /// Charges one attempt for each shard, or none.
  bool tryChargeRestart(std::uint32_t ShardCount);

private:
  LoadBudget &Budget;
  QueryStatistics &Statistics;
};

} // namespace acaciacross::query

#endif
