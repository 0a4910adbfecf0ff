#ifndef ACACIACROSS_QUERY_LOADBUDGET_H
#define ACACIACROSS_QUERY_LOADBUDGET_H

#include <cstdint>

namespace acaciacross::query {

/// Limits the extra load: the attempts beyond the first one for each shard.
class LoadBudget {
public:
  virtual ~LoadBudget() = default;

  /// Called for the first attempt of each shard; first attempts are never
  /// refused.
  virtual void onFirstAttempt() = 0;

  /// Withdraws Count extra attempts from the budget; when fewer are left, it
  /// withdraws none and returns false.
  virtual bool tryWithdraw(std::uint32_t Count) = 0;
  /// Withdraws one extra attempt for a hedge; false when that would leave too
  /// little for retries.
  virtual bool tryWithdrawForHedge() = 0;
};

} // namespace acaciacross::query

#endif
