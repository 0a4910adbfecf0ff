#ifndef ACACIACROSS_LIMITS_EXTRALOADBUDGET_H
#define ACACIACROSS_LIMITS_EXTRALOADBUDGET_H

#include "Query/LoadBudget.h"

#include <cstdint>

namespace acaciacross::limits {

/// Budget for the extra attempts that one class may make on this VM. Starts
/// empty.
class ExtraLoadBudget final : public query::LoadBudget {
public:
  /// ExtraLoadTarget: extra attempts per first attempt, in [0, 1]. MaxBalance:
  /// maximum number of whole attempts that can accumulate; a restart needs one
  /// for each shard of the snapshot.
  ExtraLoadBudget(double ExtraLoadTarget, std::uint32_t MaxBalance);

  void onFirstAttempt() override;
  bool tryWithdraw(std::uint32_t Count) override;
  bool tryWithdrawForHedge() override;

  /// Applies changed settings to later deposits. A lower target empties the
  /// budget.
  void reconfigure(double ExtraLoadTarget, std::uint32_t MaxBalance);
  /// Whole attempts that can be withdrawn.
  std::uint32_t balance() const;

private:
  std::uint64_t Deposit = 0;
  std::uint64_t MaxUnits = 0;
  std::uint64_t Units = 0;
};

} // namespace acaciacross::limits

#endif
