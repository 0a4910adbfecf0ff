#include "Limits/ExtraLoadBudget.h"

#include <algorithm>
#include <cmath>

namespace acaciacross::limits {

namespace {

// Integer units keep the sum of millions of deposits exact. A sum of doubles
// would drift above or below the target.
constexpr std::uint64_t UnitsPerAttempt = 1'000'000;

std::uint64_t depositFor(double ExtraLoadTarget) {
  // Rounded down so that the target is never exceeded. The small addend keeps
  // decimal targets such as 0.29, whose product is slightly below an integer,
  // from losing a unit.
  constexpr double RoundingTolerance = 0.001;
  const double Clamped = std::clamp(ExtraLoadTarget, 0.0, 1.0);
  return static_cast<std::uint64_t>(
      std::floor(Clamped * UnitsPerAttempt + RoundingTolerance));
}

} // namespace

ExtraLoadBudget::ExtraLoadBudget(double ExtraLoadTarget,
                                 std::uint32_t MaxBalance)
    : Deposit(depositFor(ExtraLoadTarget)),
      MaxUnits(MaxBalance * UnitsPerAttempt) {}

void ExtraLoadBudget::onFirstAttempt() {
  this->Units = std::min(this->Units + this->Deposit, this->MaxUnits);
}

bool ExtraLoadBudget::tryWithdraw(std::uint32_t Count) {
  const std::uint64_t Cost = Count * UnitsPerAttempt;
  if (Cost > this->Units)
    return false;
  this->Units -= Cost;
  return true;
}

// A hedge only shortens the wait for a reply, while a shard with a lost or shed
// attempt is missing without a retry. Under overload both are needed most, and
// without a reserve hedges would leave nothing for retries.
bool ExtraLoadBudget::tryWithdrawForHedge() {
  const std::uint64_t Reserve = this->MaxUnits / 2;
  return this->Units >= UnitsPerAttempt + Reserve && this->tryWithdraw(1);
}

void ExtraLoadBudget::reconfigure(double ExtraLoadTarget,
                                  std::uint32_t MaxBalance) {
  const std::uint64_t OldDeposit = this->Deposit;
  this->Deposit = depositFor(ExtraLoadTarget);
  this->MaxUnits = MaxBalance * UnitsPerAttempt;
  // The balance accumulated under a higher target would exceed the lower
  // target.
  this->Units =
      this->Deposit < OldDeposit ? 0 : std::min(this->Units, this->MaxUnits);
}

std::uint32_t ExtraLoadBudget::balance() const {
  return static_cast<std::uint32_t>(this->Units / UnitsPerAttempt);
}

} // namespace acaciacross::limits
