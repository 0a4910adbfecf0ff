#include "Node/MetricsSource.h"

#include <set>
#include <sstream>

namespace acaciacross::node {

namespace {

constexpr int StatusOk = 200;

} // namespace

MetricsSource::MetricsSource(const gateway::ForwardingHandler &Handler,
                             const gateway::UpstreamSender &Sender,
                             const gateway::ClientGuard &Clients,
                             forwarding::ServiceRegistry &Registry,
                             const logging::EventLog &Log,
                             const common::Clock &TimeSource)
    : Handler(Handler), Sender(Sender), Clients(Clients), Registry(Registry),
      Log(Log), Time(TimeSource) {}

http::Response MetricsSource::page(const http::Request &) {
  std::ostringstream Page;
  this->Handler.counters().write(Page);
  this->Sender.domainTraffic().write(Page);
  this->Sender.waiters().write(Page);
  this->Clients.write(Page);
  Page << "# TYPE acaciacross_active_requests gauge\n"
       << "acaciacross_active_requests " << this->Handler.active() << '\n'
       << "# TYPE acaciacross_upstream_connections gauge\n"
       << "acaciacross_upstream_connections " << this->Sender.connections()
       << '\n'
       << "# TYPE acaciacross_upstream_connections_opened_total counter\n"
       << "acaciacross_upstream_connections_opened_total "
       << this->Sender.openedConnectionCount() << '\n'
       << "# TYPE acaciacross_response_buffer_bytes gauge\n"
       << "acaciacross_response_buffer_bytes "
       << this->Sender.responseBuffers().heldBytes()
       << "\n# TYPE acaciacross_response_buffer_peak_bytes gauge\n"
       << "acaciacross_response_buffer_peak_bytes "
       << this->Sender.responseBuffers().peakBytes() << '\n'
       << "# TYPE acaciacross_routes_version gauge\n"
       << "acaciacross_routes_version "
       << (this->Registry.table() == nullptr
               ? 0
               : this->Registry.table()->version())
       << '\n'
       << "# TYPE acaciacross_evacuated_domains gauge\n"
       << "acaciacross_evacuated_domains "
       << this->Registry.evacuatedDomains().size() << '\n'
       << "# TYPE acaciacross_fleet_vms gauge\n"
       << "acaciacross_fleet_vms " << this->Registry.fleet().VmCount << '\n'
       << "# TYPE acaciacross_fleet_placed_vms gauge\n"
       << "acaciacross_fleet_placed_vms " << this->Registry.fleet().PlacedCount
       << "\n# TYPE acaciacross_placed gauge\n"
       << "acaciacross_placed " << (this->Registry.fleet().IsPlaced ? 1 : 0)
       << '\n'
       << "# TYPE acaciacross_log_lines_dropped_total counter\n"
       << "acaciacross_log_lines_dropped_total " << this->Log.dropped() << '\n';
  Page << "# TYPE acaciacross_events_total counter\n";
  for (const common::LogEvent Event : common::allLogEvents())
    if (const std::uint64_t Count = this->Log.count(Event))
      Page << "acaciacross_events_total{event=\"" << common::logEventName(Event)
           << "\"} " << Count << '\n';
  std::set<common::ServiceName> Services;
  std::size_t LeavingCount = 0;
  std::size_t PausedCount = 0;
  std::size_t ColdCount = 0;
  std::uint64_t WithheldCount =
      this->Registry.coldSearchers().unlistedWithheldCount();
  for (const auto &[Id, Record] : this->Registry.allSearchers()) {
    Services.insert(Record->entry().Service);
    LeavingCount += Record->isLeaving() ? 1 : 0;
    PausedCount += Record->isPaused(this->Time.monotonicNow()) ? 1 : 0;
    ColdCount += Record->coldStart().isCold(this->Time.monotonicNow()) ? 1 : 0;
    WithheldCount += Record->coldStart().withheldCount();
  }
  Page << "# TYPE acaciacross_searchers_leaving gauge\n"
       << "acaciacross_searchers_leaving " << LeavingCount
       << "\n# TYPE acaciacross_searchers_paused gauge\n"
       << "acaciacross_searchers_paused " << PausedCount
       << "\n# TYPE acaciacross_searchers_cold gauge\n"
       << "acaciacross_searchers_cold " << ColdCount
       << "\n# TYPE acaciacross_cold_withheld_total counter\n"
       << "acaciacross_cold_withheld_total " << WithheldCount << '\n'
       << "# TYPE acaciacross_repeat_budget_left gauge\n"
       << "# TYPE acaciacross_searchers gauge\n"
       << "# TYPE acaciacross_waiting gauge\n";
  for (const common::ServiceName &Service : Services) {
    const std::string Label = "{service=\"" + Service.Value + "\"} ";
    Page << "acaciacross_repeat_budget_left" << Label
         << this->Registry.budget(Service).remaining(this->Time.monotonicNow(),
                                                     this->Registry.fleet())
         << "\nacaciacross_searchers" << Label
         << this->Registry.replicas(Service).size() << "\nacaciacross_waiting"
         << Label << this->Sender.waitingCount(Service) << '\n';
  }
  http::Response Reply;
  Reply.Status = StatusOk;
  Reply.Headers.add("Content-Type", "text/plain; version=0.0.4");
  Reply.Body = Page.str();
  return Reply;
}

} // namespace acaciacross::node
