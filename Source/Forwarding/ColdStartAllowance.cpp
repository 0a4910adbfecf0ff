#include "Forwarding/ColdStartAllowance.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// Answers may arrive in another order than they were sent; nearly all arrive
// within this time.
constexpr std::chrono::milliseconds ReorderTime{1'000};
// About the time until the entry of a restarted searcher arrives. A VM without
// a share would otherwise never use the searcher again while the store is away.
constexpr std::chrono::milliseconds EntryDelay{2'000};

} // namespace

void ColdStartAllowance::setLimit(std::optional<ColdStartLimit> NewLimit) {
  this->Limit = NewLimit;
  if (this->Limit)
    this->Limit->RequestsPerSecond =
        std::min(this->Limit->RequestsPerSecond, MaxRequestsPerSecond);
  else
    this->RecentSends = {};
}

void ColdStartAllowance::onEntry(common::MonotonicTime Now,
                                 std::chrono::milliseconds ColdLeft) {
  this->EntryColdUntil = Now + ColdLeft;
  this->MayHaveRestarted = false;
  this->RestartColdUntil = {};
}

void ColdStartAllowance::onReported(common::MonotonicTime Now,
                                    std::chrono::milliseconds ColdLeft) {
  this->MayHaveRestarted = false;
  this->RestartColdUntil = {};
  const common::MonotonicTime Until = Now + ColdLeft;
  if (Until < this->ReportedColdUntil && Now - this->ReportedAt < ReorderTime)
    return;
  this->ReportedColdUntil = Until;
  this->ReportedAt = Now;
}

void ColdStartAllowance::onConnectFailed(common::MonotonicTime Now) {
  if (!this->Limit)
    return;
  this->MayHaveRestarted = true;
  this->RestartColdUntil = Now + this->Limit->Duration + EntryDelay;
}

// The searcher started before it answered.
void ColdStartAllowance::onAnswered(common::MonotonicTime Now) {
  if (!this->MayHaveRestarted || !this->Limit)
    return;
  this->MayHaveRestarted = false;
  this->RestartColdUntil = Now + this->Limit->Duration;
}

void ColdStartAllowance::onSent(common::MonotonicTime Now) {
  if (!this->Limit)
    return;
  const auto FirstKept =
      std::ranges::upper_bound(this->RecentSends, Now - Window);
  this->RecentSends.erase(this->RecentSends.begin(), FirstKept);
  if (this->RecentSends.size() > MaxRequestsPerSecond)
    this->RecentSends.erase(this->RecentSends.begin());
  this->RecentSends.push_back(Now);
}

void ColdStartAllowance::onWithdrawn(common::MonotonicTime SentAt) {
  const auto Found = std::ranges::find(this->RecentSends, SentAt);
  if (Found != this->RecentSends.end())
    this->RecentSends.erase(Found);
}

void ColdStartAllowance::onWithheld() { ++this->Withheld; }

bool ColdStartAllowance::isCold(common::MonotonicTime Now) const {
  return this->Limit && Now < this->coldUntil();
}

bool ColdStartAllowance::isMarked(common::MonotonicTime Now) const {
  return this->MayHaveRestarted || Now < this->coldUntil();
}

common::MonotonicTime ColdStartAllowance::coldUntil() const {
  return std::max(
      {this->EntryColdUntil, this->ReportedColdUntil, this->RestartColdUntil});
}

bool ColdStartAllowance::isUsedUp(common::MonotonicTime Now) const {
  return this->isCold(Now) &&
         this->sentCount(Now) >= this->Limit->RequestsPerSecond;
}

bool ColdStartAllowance::isOverdrawn(common::MonotonicTime Now) const {
  return this->isCold(Now) &&
         this->sentCount(Now) > this->Limit->RequestsPerSecond;
}

common::MonotonicTime
ColdStartAllowance::nextAllowedAt(common::MonotonicTime Now) const {
  if (!this->isUsedUp(Now))
    return Now;
  const unsigned Allowed = this->Limit->RequestsPerSecond;
  if (Allowed == 0)
    return this->coldUntil();
  const common::MonotonicTime Earliest =
      this->RecentSends[this->RecentSends.size() - Allowed];
  return std::min<common::MonotonicTime>(this->coldUntil(), Earliest + Window);
}

const std::optional<ColdStartLimit> &ColdStartAllowance::limit() const {
  return this->Limit;
}

std::uint64_t ColdStartAllowance::withheldCount() const {
  return this->Withheld;
}

std::size_t ColdStartAllowance::sentCount(common::MonotonicTime Now) const {
  return static_cast<std::size_t>(
      this->RecentSends.end() -
      std::ranges::upper_bound(this->RecentSends, Now - Window));
}

} // namespace acaciacross::forwarding
