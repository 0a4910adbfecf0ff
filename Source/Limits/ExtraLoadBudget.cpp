#include "Limits/ExtraLoadBudget.h"

#include <algorithm>
#include <cmath>

namespace acaciacross::limits {

namespace {

// Integer units keep the sum of millions of deposits exact; a sum of doubles
// would drift above or below the target.
constexpr std::uint64_t UnitsPerAttempt = 1'000'000;

std::uint64_t depositFor(double ExtraLoadTarget) {
  // Rounded down so that the target is never exceeded. The small addend keeps
  // decimal targets such as 0.29, whose product is a little below a whole
  // number, from losing a unit.
  constexpr double RepresentationError = 0.001;
  const double Clamped = std::clamp(ExtraLoadTarget, 0.0, 1.0);
  return static_cast<std::uint64_t>(
      std::floor(Clamped * UnitsPerAttempt + RepresentationError));
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
  const std::uint64_t Price = Count * UnitsPerAttempt;
  if (Price > this->Units)
    return false;
  this->Units -= Price;
  return true;
}

// Hedges only shorten the wait for a reply, while a shard whose attempt was
// lost or shed is missing without a retry. Under overload both are wanted most,
// and hedges would leave nothing for retries.
bool ExtraLoadBudget::tryWithdrawForHedge() {
  const std::uint64_t Reserve = this->MaxUnits / 2;
  return this->Units >= UnitsPerAttempt + Reserve && this->tryWithdraw(1);
}

void ExtraLoadBudget::reconfigure(double ExtraLoadTarget,
                                  std::uint32_t MaxBalance) {
  const std::uint64_t Before = this->Deposit;
  this->Deposit = depositFor(ExtraLoadTarget);
  this->MaxUnits = MaxBalance * UnitsPerAttempt;
  // What was saved under a higher target would exceed the lower one.
  this->Units =
      this->Deposit < Before ? 0 : std::min(this->Units, this->MaxUnits);
}

std::uint32_t ExtraLoadBudget::balance() const {
  return static_cast<std::uint32_t>(this->Units / UnitsPerAttempt);
}

} // namespace acaciacross::limits
