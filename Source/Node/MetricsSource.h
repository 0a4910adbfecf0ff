#ifndef ACACIACROSS_NODE_METRICSSOURCE_H
#define ACACIACROSS_NODE_METRICSSOURCE_H

#include "Forwarding/ServiceBook.h"
#include "Gateway/ForwardingHandler.h"
#include "Gateway/PageSource.h"
#include "Gateway/UpstreamPort.h"
#include "Logging/EventLog.h"

namespace acaciacross::node {

/// The metrics of a VM in the Prometheus text form.
class MetricsSource final : public gateway::PageSource {
public:
  MetricsSource(const gateway::ForwardingHandler &Requests,
                const gateway::UpstreamPort &Upstreams,
                forwarding::ServiceBook &Known,
                const logging::EventLog &Journal, const common::Clock &Clock);

  http::Response page(const http::Request &Request) override;

private:
  const gateway::ForwardingHandler &Handler;
  const gateway::UpstreamPort &Port;
  forwarding::ServiceBook &Book;
  const logging::EventLog &Log;
  const common::Clock &Time;
};

} // namespace acaciacross::node

#endif
