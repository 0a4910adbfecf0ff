#ifndef ACACIACROSS_FORWARDING_RETRYBUDGET_H
#define ACACIACROSS_FORWARDING_RETRYBUDGET_H

#include "Common/Time.h"
#include "Forwarding/FleetShare.h"
#include "Forwarding/RetryBudgetSettings.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace acaciacross::forwarding {

/// This VM's share of the retries and hedges that the fleet may send to one
/// service in any window. It limits the load that retries add when searchers
/// are slow or fail. The shares of all VMs add up to at most the fleet's bound,
/// without messages between the VMs.
class RetryBudget {
public:
  explicit RetryBudget(RetryBudgetSettings Settings);

  /// Records a request of a caller that is sent to the service.
  void recordRequest(common::MonotonicTime Now);
  /// Takes one extra attempt from the budget; false when it is used up.
  /// ReservedShare: share of the budget, 0 to 1, that must remain for more
  /// important retries.
  bool tryWithdraw(common::MonotonicTime Now, const FleetShare &Share,
                   double ReservedShare);
  /// Records an extra attempt without checking the budget.
  void recordExtra(common::MonotonicTime Now);
  /// Number of extra attempts that may still be sent in the current window.
  double remaining(common::MonotonicTime Now, const FleetShare &Share);

private:
  struct Slice {
    std::uint32_t Requests = 0;
    std::uint32_t Extras = 0;
  };

  // Number of slices that a window is divided into. One more slice is kept,
  // because the current one has only partly passed.
  static constexpr std::size_t SlicesPerWindow = 20;
  static constexpr std::size_t SliceCount = SlicesPerWindow + 1;

  void advance(common::MonotonicTime Now);

  RetryBudgetSettings Settings;
  std::array<Slice, SliceCount> RecentSlices{};
  std::int64_t CurrentSlice = 0;
};

} // namespace acaciacross::forwarding

#endif
