#ifndef ACACIACROSS_FRONTEND_CALLDISPATCHER_H
#define ACACIACROSS_FRONTEND_CALLDISPATCHER_H

#include "Common/Clock.h"
#include "Common/RandomSource.h"
#include "Frontend/AuditSource.h"
#include "Frontend/CallerRequest.h"
#include "Frontend/ResponseSink.h"
#include "Routing/AddressAdvisor.h"
#include "Traffic/TrafficGateway.h"

#include <memory>
#include <mutex>

namespace acaciacross::frontend {

/// Carries out the calls of callers and operators. Thread-safe.
class CallDispatcher {
public:
  /// All references must outlive the dispatcher; Random is used by it only.
  CallDispatcher(common::VmId Self, common::Incarnation OwnRun,
                 traffic::TrafficGateway &Gateway, AuditSource &Audit,
                 const common::Clock &Time, common::RandomSource &Random);

  /// The sink is called once, possibly before this returns.
  void dispatch(const CallerRequest &Request,
                std::shared_ptr<ResponseSink> Sink);

private:
  void runQuery(const CallerRequest &Request,
                std::shared_ptr<ResponseSink> Sink);
  void issueTicket(const CallerRequest &Request,
                   std::shared_ptr<ResponseSink> Sink);
  void adviseAddresses(ResponseSink &Sink);
  void showStatus(std::shared_ptr<ResponseSink> Sink);
  void showMetrics(std::shared_ptr<ResponseSink> Sink);
  void showAudit(const CallerRequest &Request,
                 std::shared_ptr<ResponseSink> Sink);

  common::VmId Vm;
  common::Incarnation Run;
  traffic::TrafficGateway &Traffic;
  AuditSource &Trail;
  const common::Clock &Ticker;
  std::mutex AdvisorMutex;
  routing::AddressAdvisor Advisor;
};

} // namespace acaciacross::frontend

#endif
