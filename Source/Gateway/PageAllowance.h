#ifndef ACACIACROSS_GATEWAY_PAGEALLOWANCE_H
#define ACACIACROSS_GATEWAY_PAGEALLOWANCE_H

#include "Gateway/ConnectionAllowance.h"
#include "Gateway/DescriptorShares.h"

namespace acaciacross::gateway {

/// Connections of one page port.
class PageAllowance final : public ConnectionAllowance {
public:
  explicit PageAllowance(const DescriptorShares &Shares);

  std::size_t maxConnections() const override;
  std::chrono::milliseconds minIdleTime() const override;

private:
  const DescriptorShares &Shares;
};

} // namespace acaciacross::gateway

#endif
