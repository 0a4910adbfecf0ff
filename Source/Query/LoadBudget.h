#ifndef ACACIACROSS_QUERY_LOADBUDGET_H
#define ACACIACROSS_QUERY_LOADBUDGET_H

#include <cstdint>

namespace acaciacross::query {

/// Budget of attempts beyond the first per shard.
class LoadBudget {
public:
  virtual ~LoadBudget() = default;

  virtual void onFirstAttempt() = 0;

  /// Takes all of Count extra attempts from the budget, or none and returns
  /// false.
  virtual bool tryWithdraw(std::uint32_t Count) = 0;
  /// Takes one extra attempt for a hedge, unless that would leave too little
  /// for retries.
  virtual bool tryWithdrawForHedge() = 0;
};

} // namespace acaciacross::query

#endif
