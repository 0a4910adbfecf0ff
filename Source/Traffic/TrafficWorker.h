#ifndef ACACIACROSS_TRAFFIC_TRAFFICWORKER_H
#define ACACIACROSS_TRAFFIC_TRAFFICWORKER_H

#include "Common/Clock.h"
#include "Common/SeededRandom.h"
#include "Control/EvidenceSink.h"
#include "Traffic/CurlAttemptPort.h"
#include "Traffic/Mailbox.h"
#include "Traffic/PollSchedule.h"
#include "Traffic/ServiceEngine.h"

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace acaciacross::traffic {

/// The traffic thread of one service.
class TrafficWorker {
public:
  using Task = std::function<void(ServiceEngine &)>;

  /// Time and Evidence must outlive the worker.
  TrafficWorker(EngineSettings Chosen, const common::Clock &Time,
                control::EvidenceSink &Evidence);
  ~TrafficWorker();

  TrafficWorker(const TrafficWorker &) = delete;
  TrafficWorker &operator=(const TrafficWorker &) = delete;

  /// Runs on the traffic thread, in the order of posting. Thread-safe.
  void post(Task Work);
  /// Only the newest view waits for the thread. Thread-safe.
  void updateView(std::shared_ptr<const control::ControlView> View);

  /// Ends the thread when no query runs any more, at the latest after Grace;
  /// what runs then is aborted. Thread-safe; nothing may be posted afterwards.
  void beginStop(std::chrono::milliseconds Grace);
  /// Waits for the end of the thread.
  void join();

private:
  void run();
  void poll();
  bool isOver() const;
  std::chrono::milliseconds untilNextEvent() const;
  void takeView();
  void applyLimits(const control::ControlView &View);

  const common::Clock &Ticker;
  common::ServiceName Name;
  control::EvidenceSink &Sink;
  CurlAttemptPort Port;
  common::SeededRandom PollRandom;
  PollSchedule Polls;
  ServiceEngine Engine;
  Mailbox<Task> Tasks;
  std::mutex ViewMutex;
  /// Not taken by the thread yet. Guarded by ViewMutex.
  std::shared_ptr<const control::ControlView> NextView;
  bool IsStopping = false;
  common::MonotonicTime StopAt;
  std::thread Thread;
};

} // namespace acaciacross::traffic

#endif
