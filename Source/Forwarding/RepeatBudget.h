#ifndef ACACIACROSS_FORWARDING_REPEATBUDGET_H
#define ACACIACROSS_FORWARDING_REPEATBUDGET_H

#include "Common/Time.h"
#include "Forwarding/FleetPart.h"
#include "Forwarding/RepeatBudgetSettings.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace acaciacross::forwarding {

/// This VM's part of the repeats and hedges that the fleet may send to one
/// service in any window. Answers the load that retries add when searchers are
/// slow or fail: the sum over all VMs stays within the bound without messages
/// between them.
class RepeatBudget {
public:
  explicit RepeatBudget(RepeatBudgetSettings FleetBounds);

  /// One request of a caller went to the service.
  void noteRequest(common::MonotonicTime Now);
  /// Takes one extra arrival; false when the budget is used up. KeepBack: share
  /// of the budget, 0 to 1, that must stay for more important repeats.
  bool withdraw(common::MonotonicTime Now, const FleetPart &Part,
                double KeepBack);
  /// An extra arrival that could not be asked for beforehand.
  void noteExtra(common::MonotonicTime Now);
  /// Extra arrivals that may still be sent in the present window.
  double left(common::MonotonicTime Now, const FleetPart &Part);

private:
  struct Slice {
    std::uint32_t Requests = 0;
    std::uint32_t Extras = 0;
  };

  // The window is cut into this many slices; one more makes up for the part of
  // the present slice that has not passed.
  static constexpr std::size_t SlicesPerWindow = 20;
  static constexpr std::size_t Slices = SlicesPerWindow + 1;

  void advance(common::MonotonicTime Now);

  RepeatBudgetSettings Bounds;
  std::array<Slice, Slices> Recent{};
  std::int64_t Present = 0;
};

} // namespace acaciacross::forwarding

#endif
