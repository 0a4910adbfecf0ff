#ifndef ACACIACROSS_TRAFFIC_TRAFFICGATEWAY_H
#define ACACIACROSS_TRAFFIC_TRAFFICGATEWAY_H

#include "Control/ControlView.h"
#include "Traffic/ReplySink.h"
#include "Traffic/ReportSink.h"
#include "Traffic/TicketSink.h"
#include "Traffic/TrafficRequest.h"

#include <memory>

namespace acaciacross::traffic {

/// Interface of the traffic threads for front ends. All functions are
/// thread-safe and do not block; sinks may be called before they return.
class TrafficGateway {
public:
  virtual ~TrafficGateway() = default;

  virtual void submit(TrafficRequest Request,
                      std::shared_ptr<ReplySink> Sink) = 0;

  virtual void requestTicket(const common::ClassName &Class,
                             std::shared_ptr<TicketSink> Sink) = 0;

  virtual void requestReports(std::shared_ptr<ReportSink> Sink) = 0;

  /// Never null; before the first view an empty one in the state joining.
  virtual std::shared_ptr<const control::ControlView> view() const = 0;
};

} // namespace acaciacross::traffic

#endif
