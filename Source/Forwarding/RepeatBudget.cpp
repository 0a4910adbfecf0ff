#include "Forwarding/RepeatBudget.h"

#include <algorithm>

namespace acaciacross::forwarding {

namespace {

// A request counts where it arrives at a searcher, some milliseconds later, so
// two windows are not quite the same; this much of the bound is left unused.
constexpr double UsablePart = 0.9;

} // namespace

RepeatBudget::RepeatBudget(RepeatBudgetSettings FleetBounds)
    : Bounds(FleetBounds) {}

void RepeatBudget::noteRequest(common::MonotonicTime Now) {
  this->advance(Now);
  ++this->Recent[static_cast<std::size_t>(this->Present) % Slices].Requests;
}

void RepeatBudget::noteExtra(common::MonotonicTime Now) {
  this->advance(Now);
  ++this->Recent[static_cast<std::size_t>(this->Present) % Slices].Extras;
}

bool RepeatBudget::withdraw(common::MonotonicTime Now, const FleetPart &Part,
                            double KeepBack) {
  std::uint64_t Extras = 0;
  for (const Slice &Each : this->Recent)
    Extras += Each.Extras;
  const double Left = this->left(Now, Part);
  const double Whole = Left + static_cast<double>(Extras);
  if (Left < 1.0 + KeepBack * Whole)
    return false;
  this->noteExtra(Now);
  return true;
}

double RepeatBudget::left(common::MonotonicTime Now, const FleetPart &Part) {
  this->advance(Now);
  std::uint64_t Requests = 0;
  std::uint64_t Extras = 0;
  for (const Slice &Each : this->Recent) {
    Requests += Each.Requests;
    Extras += Each.Extras;
  }
  const double Fixed = this->Bounds.FixedPerWindow * Part.ofFleet();
  const double Allowed =
      UsablePart * (this->Bounds.Ratio * static_cast<double>(Requests) + Fixed);
  return Allowed - static_cast<double>(Extras);
}

void RepeatBudget::advance(common::MonotonicTime Now) {
  const auto SliceLength = this->Bounds.Window / SlicesPerWindow;
  const auto Slice =
      static_cast<std::int64_t>(Now.time_since_epoch() / SliceLength);
  if (Slice <= this->Present)
    return;
  const std::int64_t Steps =
      std::min<std::int64_t>(Slice - this->Present, Slices);
  for (std::int64_t I = 0; I < Steps; ++I)
    this->Recent[static_cast<std::size_t>(Slice - I) % Slices] = {};
  this->Present = Slice;
}

} // namespace acaciacross::forwarding
