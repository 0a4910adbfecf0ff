#ifndef ACACIACROSS_GATEWAY_CALLERALLOWANCE_H
#define ACACIACROSS_GATEWAY_CALLERALLOWANCE_H

#include "Gateway/ConnectionAllowance.h"
#include "Gateway/DescriptorShares.h"
#include "Gateway/UpstreamSender.h"

namespace acaciacross::gateway {

/// Connections of callers: what those to searchers leave.
class CallerAllowance final : public ConnectionAllowance {
public:
  CallerAllowance(const DescriptorShares &Shares, const UpstreamSender &Sender);

  std::size_t maxConnections() const override;
  std::chrono::milliseconds minIdleTime() const override;

private:
  const DescriptorShares &Shares;
  const UpstreamSender &Sender;
};

} // namespace acaciacross::gateway

#endif
