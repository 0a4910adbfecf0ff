#include "Query/AttemptPayment.h"

namespace acaciacross::query {

AttemptPayment::AttemptPayment(LoadBudget &Source, QueryStatistics &Counts)
    : Budget(Source), Statistics(Counts) {}

bool AttemptPayment::payNext(ShardProgress &Progress) {
  if (Progress.IsFirstAttemptDue) {
    Progress.IsFirstAttemptDue = false;
    this->Budget.onFirstAttempt();
    ++this->Statistics.FirstAttempts;
    return true;
  }
  if (Progress.IsPrepaid) {
    Progress.IsPrepaid = false;
    return true;
  }
  if (!this->Budget.tryWithdraw(1))
    return false;
  ++this->Statistics.ExtraAttempts;
  return true;
}

bool AttemptPayment::payHedge() {
  if (!this->Budget.tryWithdrawForHedge())
    return false;
  ++this->Statistics.ExtraAttempts;
  ++this->Statistics.Hedges;
  return true;
}

bool AttemptPayment::payRestart(std::uint32_t ShardCount) {
  if (!this->Budget.tryWithdraw(ShardCount))
    return false;
  ++this->Statistics.Restarts;
  this->Statistics.ExtraAttempts += ShardCount;
  return true;
}

} // namespace acaciacross::query
