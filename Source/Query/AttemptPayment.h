#ifndef ACACIACROSS_QUERY_ATTEMPTPAYMENT_H
#define ACACIACROSS_QUERY_ATTEMPTPAYMENT_H

#include "Query/LoadBudget.h"
#include "Query/QueryStatistics.h"
#include "Query/ShardProgress.h"

#include <cstdint>

namespace acaciacross::query {

/// Takes the attempts of one query from the extra-load budget and counts them.
class AttemptPayment {
public:
  /// Both must outlive this.
  AttemptPayment(LoadBudget &Source, QueryStatistics &Counts);

  /// For the next attempt at a shard that none runs for; false when the budget
  /// does not allow it. A shard's first attempt and a replacement of one that
  /// was not sent take nothing.
  bool payNext(ShardProgress &Progress);
  bool payHedge();
  /// For running every shard once more.
  bool payRestart(std::uint32_t ShardCount);

private:
  LoadBudget &Budget;
  QueryStatistics &Statistics;
};

} // namespace acaciacross::query

#endif
