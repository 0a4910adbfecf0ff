#ifndef ACACIACROSS_LIMITS_CONNECTIONQUOTA_H
#define ACACIACROSS_LIMITS_CONNECTIONQUOTA_H

#include <cstdint>

namespace acaciacross::limits {

/// Share of a searcher's maximum number of connections that one entry VM may
/// use.
class ConnectionQuota {
public:
  /// Throws common::Error (DocumentInvalid) when MaxEntryVms is 0.
  explicit ConnectionQuota(std::uint32_t MaxEntryVms);

  /// Connections that this VM may open to the searcher, rounded down; 0 means
  /// none. Services: number of services that share the searcher's address, at
  /// least 1; each gets an equal share.
  std::uint32_t perVm(std::uint32_t MaxConnections,
                      std::uint32_t Services) const;

private:
  std::uint32_t MaxEntryVms;
};

} // namespace acaciacross::limits

#endif
