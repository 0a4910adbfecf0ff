#ifndef ACACIACROSS_GATEWAY_PAGEALLOWANCE_H
#define ACACIACROSS_GATEWAY_PAGEALLOWANCE_H

#include "Gateway/ConnectionAllowance.h"

namespace acaciacross::gateway {

/// Connections of one page port.
class PageAllowance final : public ConnectionAllowance {
public:
  explicit PageAllowance(std::size_t MaxConnections);

  std::size_t maxConnections() const override;
  std::chrono::milliseconds minIdleTime() const override;

private:
  std::size_t MaxConnections;
};

} // namespace acaciacross::gateway

#endif
