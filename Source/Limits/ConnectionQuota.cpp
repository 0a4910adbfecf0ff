#include "Limits/ConnectionQuota.h"

#include "Common/Error.h"

namespace acaciacross::limits {

ConnectionQuota::ConnectionQuota(std::uint32_t MaxEntryVms)
    : MaxEntryVms(MaxEntryVms) {
  if (MaxEntryVms == 0)
    throw common::Error(common::ResultCode::DocumentInvalid,
                        "max_entry_vms = 0: must be at least 1");
}

// The divisor is the published maximum instead of the number of live VMs. VMs
// on the two sides of a network partition see different fleets, and quotas
// derived from these would add up to more than the maximum.
std::uint32_t ConnectionQuota::perVm(std::uint32_t MaxConnections,
                                     std::uint32_t Services) const {
  const std::uint64_t QuotaHolders =
      std::uint64_t{this->MaxEntryVms} * Services;
  return static_cast<std::uint32_t>(MaxConnections / QuotaHolders);
}

} // namespace acaciacross::limits
