#include "Query/QueryStatistics.h"

namespace acaciacross::query {

double QueryStatistics::shedShare() const {
  const double Attempts = this->FirstAttempts + this->ExtraAttempts;
  return Attempts > 0.0 ? this->ShedAttempts / Attempts : 0.0;
}

QueryStatistics &QueryStatistics::operator+=(const QueryStatistics &Other) {
  this->FirstAttempts += Other.FirstAttempts;
  this->ExtraAttempts += Other.ExtraAttempts;
  this->FreeReplacements += Other.FreeReplacements;
  this->Hedges += Other.Hedges;
  this->HedgesWon += Other.HedgesWon;
  this->CancelledAttempts += Other.CancelledAttempts;
  this->DiscardedReplies += Other.DiscardedReplies;
  this->ShedAttempts += Other.ShedAttempts;
  this->Restarts += Other.Restarts;
  return *this;
}

} // namespace acaciacross::query
