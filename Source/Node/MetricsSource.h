#ifndef ACACIACROSS_NODE_METRICSSOURCE_H
#define ACACIACROSS_NODE_METRICSSOURCE_H

#include "Forwarding/ServiceRegistry.h"
#include "Gateway/ClientGuard.h"
#include "Gateway/ForwardingHandler.h"
#include "Gateway/PageSource.h"
#include "Gateway/UpstreamSender.h"
#include "Logging/EventLog.h"

namespace acaciacross::node {

/// Writes the metrics of this VM in the Prometheus text format.
class MetricsSource final : public gateway::PageSource {
public:
  MetricsSource(const gateway::ForwardingHandler &Handler,
                const gateway::UpstreamSender &Sender,
                const gateway::ClientGuard &Clients,
                forwarding::ServiceRegistry &Registry,
                const logging::EventLog &Log, const common::Clock &TimeSource);

  http::Response page(const http::Request &Request) override;

private:
  const gateway::ForwardingHandler &Handler;
  const gateway::UpstreamSender &Sender;
  const gateway::ClientGuard &Clients;
  forwarding::ServiceRegistry &Registry;
  const logging::EventLog &Log;
  const common::Clock &Time;
};

} // namespace acaciacross::node

#endif
