#ifndef ACACIACROSS_FRONTEND_CALLDISPATCHER_H
#define ACACIACROSS_FRONTEND_CALLDISPATCHER_H

#include "Common/Clock.h"
#include "Common/RandomSource.h"
#include "Frontend/AuditSource.h"
#include "Frontend/CallerRequest.h"
#include "Frontend/ResponseSink.h"
#include "Routing/EntryVmSelector.h"
#include "Traffic/TrafficGateway.h"

#include <memory>
#include <mutex>

namespace acaciacross::frontend {

/// Routes the HTTP requests of callers and operators to their handlers.
/// Thread-safe.
class CallDispatcher {
public:
  /// All references must outlive the dispatcher. Random must not be shared with
  /// other objects.
  CallDispatcher(common::VmId Vm, common::Incarnation Incarnation,
                 traffic::TrafficGateway &Gateway, AuditSource &Audit,
                 const common::Clock &Clock, common::RandomSource &Random);

  /// Calls the sink once, possibly before this function returns.
  void dispatch(const CallerRequest &Request,
                std::shared_ptr<ResponseSink> Sink);

private:
  void handleQuery(const CallerRequest &Request,
                   std::shared_ptr<ResponseSink> Sink);
  void handleTicketRequest(const CallerRequest &Request,
                           std::shared_ptr<ResponseSink> Sink);
  void handleAddresses(ResponseSink &Sink);
  void handleStatus(std::shared_ptr<ResponseSink> Sink);
  void handleMetrics(std::shared_ptr<ResponseSink> Sink);
  void handleAudit(const CallerRequest &Request,
                   std::shared_ptr<ResponseSink> Sink);

  common::VmId Vm;
  common::Incarnation Incarnation;
  traffic::TrafficGateway &Gateway;
  AuditSource &Audit;
  const common::Clock &Clock;
  std::mutex AdvisorMutex;
  routing::EntryVmSelector Selector;
};

} // namespace acaciacross::frontend

#endif
