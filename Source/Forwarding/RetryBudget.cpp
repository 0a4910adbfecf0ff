#include "Forwarding/RetryBudget.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// Searchers count a request when it arrives, some milliseconds after this VM
// does, so the two windows differ slightly. The unused rest of the bound
// absorbs the difference.
constexpr double UsableShare = 0.9;

} // namespace

RetryBudget::RetryBudget(RetryBudgetSettings Settings) : Settings(Settings) {}

void RetryBudget::recordRequest(common::MonotonicTime Now) {
  this->advance(Now);
  ++this->RecentSlices[static_cast<std::size_t>(this->CurrentSlice) %
                       SliceCount]
        .Requests;
}

void RetryBudget::recordExtra(common::MonotonicTime Now) {
  this->advance(Now);
  ++this->RecentSlices[static_cast<std::size_t>(this->CurrentSlice) %
                       SliceCount]
        .Extras;
}

bool RetryBudget::tryWithdraw(common::MonotonicTime Now,
                              const FleetShare &Share, double ReservedShare) {
  std::uint64_t Extras = 0;
  for (const Slice &Counted : this->RecentSlices)
    Extras += Counted.Extras;
  const double Remaining = this->remaining(Now, Share);
  const double Total = Remaining + static_cast<double>(Extras);
  if (Remaining < 1.0 + ReservedShare * Total)
    return false;
  this->recordExtra(Now);
  return true;
}

double RetryBudget::remaining(common::MonotonicTime Now,
                              const FleetShare &Share) {
  this->advance(Now);
  std::uint64_t Requests = 0;
  std::uint64_t Extras = 0;
  for (const Slice &Counted : this->RecentSlices) {
    Requests += Counted.Requests;
    Extras += Counted.Extras;
  }
  const double Fixed = this->Settings.FixedPerWindow * Share.shareOfFleet();
  const double Allowed =
      UsableShare *
      (this->Settings.Ratio * static_cast<double>(Requests) + Fixed);
  return Allowed - static_cast<double>(Extras);
}

void RetryBudget::advance(common::MonotonicTime Now) {
  const auto SliceLength = this->Settings.Window / SlicesPerWindow;
  const auto Slice =
      static_cast<std::int64_t>(Now.time_since_epoch() / SliceLength);
  if (Slice <= this->CurrentSlice)
    return;
  const std::int64_t Steps =
      std::min<std::int64_t>(Slice - this->CurrentSlice, SliceCount);
  for (std::int64_t I = 0; I < Steps; ++I)
    this->RecentSlices[static_cast<std::size_t>(Slice - I) % SliceCount] = {};
  this->CurrentSlice = Slice;
}

} // namespace acaciacross::forwarding
