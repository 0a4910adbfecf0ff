#include "Query/AttemptBudget.h"

namespace acaciacross::query {

AttemptBudget::AttemptBudget(LoadBudget &Budget, QueryStatistics &Statistics)
    : Budget(Budget), Statistics(Statistics) {}

bool AttemptBudget::tryChargeNext(ShardProgress &Progress) {
  if (Progress.IsFirstAttemptDue) {
    Progress.IsFirstAttemptDue = false;
    this->Budget.onFirstAttempt();
    ++this->Statistics.FirstAttempts;
    return true;
  }
  if (Progress.IsNextAttemptFree) {
    Progress.IsNextAttemptFree = false;
    return true;
  }
  if (!this->Budget.tryWithdraw(1))
    return false;
  ++this->Statistics.ExtraAttempts;
  return true;
}

bool AttemptBudget::tryChargeHedge() {
  if (!this->Budget.tryWithdrawForHedge())
    return false;
  ++this->Statistics.ExtraAttempts;
  ++this->Statistics.Hedges;
  return true;
}

bool AttemptBudget::tryChargeRestart(std::uint32_t ShardCount) {
  if (!this->Budget.tryWithdraw(ShardCount))
    return false;
  ++this->Statistics.Restarts;
  this->Statistics.ExtraAttempts += ShardCount;
  return true;
}

} // namespace acaciacross::query
