#ifndef ACACIACROSS_GATEWAY_DESCRIPTORSHARES_H
#define ACACIACROSS_GATEWAY_DESCRIPTORSHARES_H

#include <cstddef>

namespace acaciacross::gateway {

/// Divides the descriptors of this process, so that connections of callers
/// leave enough for searchers, peers, the store and the pages.
class DescriptorShares {
public:
  explicit DescriptorShares(std::size_t Total);

  /// Most connections of callers. UpstreamConnections: connections to searchers
  /// now.
  std::size_t callers(std::size_t UpstreamConnections) const;
  /// Most connections of the port that names addresses to callers.
  std::size_t directory() const;
  /// Most connections of each other page port.
  std::size_t page() const;

private:
  std::size_t Total;
};

} // namespace acaciacross::gateway

#endif
