#ifndef ACACIACROSS_LIMITS_CONNECTIONQUOTA_H
#define ACACIACROSS_LIMITS_CONNECTIONQUOTA_H

#include <cstdint>

namespace acaciacross::limits {

/// Part of a searcher's connection cap that one entry VM may use.
class ConnectionQuota {
public:
  /// Throws common::Error (DocumentInvalid) when MaxEntryVms is 0.
  explicit ConnectionQuota(std::uint32_t MaxEntryVms);

  /// Rounded down; 0 means that this VM may not connect to the searcher.
  /// Services: how many services share the searcher's address, at least 1; each
  /// gets the same part.
  std::uint32_t perVm(std::uint32_t MaxConnections,
                      std::uint32_t Services) const;

private:
  std::uint32_t MaxEntryVms;
};

} // namespace acaciacross::limits

#endif
