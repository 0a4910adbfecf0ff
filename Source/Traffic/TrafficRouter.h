#ifndef ACACIACROSS_TRAFFIC_TRAFFICROUTER_H
#define ACACIACROSS_TRAFFIC_TRAFFICROUTER_H

#include "Common/SeededRandom.h"
#include "Control/EvidenceSink.h"
#include "Control/ViewListener.h"
#include "Traffic/RouterSettings.h"
#include "Traffic/TrafficGateway.h"
#include "Traffic/TrafficWorker.h"

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace acaciacross::traffic {

/// Starts a traffic thread for each service and passes each request to the
/// thread of its class's service. A thread is kept when its service is removed
/// from the configuration, because it holds the record of used tickets.
class TrafficRouter final : public control::ViewListener,
                            public TrafficGateway {
public:
  /// Time and Evidence must outlive the router.
  TrafficRouter(RouterSettings Settings, const common::Clock &Time,
                control::EvidenceSink &Evidence);
  ~TrafficRouter() override;

  void onView(std::shared_ptr<const control::ControlView> View) override;

  void submit(TrafficRequest Request, std::shared_ptr<ReplySink> Sink) override;
  void requestTicket(const common::ClassName &Class,
                     std::shared_ptr<TicketSink> Sink) override;
  void requestReports(std::shared_ptr<ReportSink> Sink) override;
  std::shared_ptr<const control::ControlView> view() const override;

  /// Refuses new requests, lets running queries finish within Grace, and stops
  /// the threads.
  void stop(std::chrono::milliseconds Grace);

private:
  std::shared_ptr<TrafficWorker> startWorker(const common::ServiceName &Name);

  /// Null if no worker takes the request; Refusal is then set to the reason.
  std::shared_ptr<TrafficWorker> workerForClass(const common::ClassName &Class,
                                                common::ResultCode &Refusal);
  std::shared_ptr<TrafficWorker>
  workerForTicket(const tickets::Ticket &Presented,
                  common::ResultCode &Refusal);

  RouterSettings Settings;
  const common::Clock &TimeSource;
  control::EvidenceSink &Evidence;

  /// Guards the members below. Never held while a request is processed.
  mutable std::mutex Mutex;
  common::SeededRandom Random;
  std::shared_ptr<const control::ControlView> CurrentView;
  std::map<common::ServiceName, std::shared_ptr<TrafficWorker>> Workers;
  /// In the order of their start. The index is the upper part of a worker's
  /// sequence numbers.
  std::vector<std::shared_ptr<TrafficWorker>> WorkersByIndex;
  bool IsStopped = false;
};

} // namespace acaciacross::traffic

#endif
