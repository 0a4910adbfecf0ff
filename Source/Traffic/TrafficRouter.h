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

/// Starts a traffic thread per service and hands each request to the one of its
/// class. Threads stay when their service leaves the configuration: they hold
/// the record of used tickets.
class TrafficRouter final : public control::ViewListener,
                            public TrafficGateway {
public:
  /// Time and Evidence must outlive the router.
  TrafficRouter(RouterSettings Chosen, const common::Clock &Time,
                control::EvidenceSink &Evidence);
  ~TrafficRouter() override;

  void onView(std::shared_ptr<const control::ControlView> View) override;

  void submit(TrafficRequest Request, std::shared_ptr<ReplySink> Sink) override;
  void requestTicket(const common::ClassName &Class,
                     std::shared_ptr<TicketSink> Sink) override;
  void requestReports(std::shared_ptr<ReportSink> Sink) override;
  std::shared_ptr<const control::ControlView> view() const override;

  /// Refuses new requests, lets running queries finish within Grace, and ends
  /// the threads.
  void stop(std::chrono::milliseconds Grace);

private:
  std::shared_ptr<TrafficWorker> startWorker(const common::ServiceName &Name);

  /// Null and a code when the request cannot be handed to a worker.
  std::shared_ptr<TrafficWorker> workerForClass(const common::ClassName &Class,
                                                common::ResultCode &Refusal);
  std::shared_ptr<TrafficWorker>
  workerForTicket(const tickets::Ticket &Presented,
                  common::ResultCode &Refusal);

  RouterSettings Settings;
  const common::Clock &Ticker;
  control::EvidenceSink &Evidence;

  /// Guards the members below; held for look-ups only.
  mutable std::mutex Mutex;
  common::SeededRandom Random;
  std::shared_ptr<const control::ControlView> Newest;
  std::map<common::ServiceName, std::shared_ptr<TrafficWorker>> Workers;
  /// In the order of their start, which is also in their sequence numbers.
  std::vector<std::shared_ptr<TrafficWorker>> ByNumber;
  bool IsStopped = false;
};

} // namespace acaciacross::traffic

#endif
