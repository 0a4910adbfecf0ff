#ifndef ACACIACROSS_TRAFFIC_TRAFFICWORKER_H
#define ACACIACROSS_TRAFFIC_TRAFFICWORKER_H

#include "Common/Clock.h"
#include "Common/SeededRandom.h"
#include "Control/EvidenceSink.h"
#include "Traffic/CurlAttemptSender.h"
#include "Traffic/MessageQueue.h"
#include "Traffic/PollSchedule.h"
#include "Traffic/ServiceEngine.h"

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

namespace acaciacross::traffic {

/// Runs the traffic thread of one service.
class TrafficWorker {
public:
  using Task = std::function<void(ServiceEngine &)>;

  /// Time and Evidence must outlive the worker.
  TrafficWorker(EngineSettings Settings, const common::Clock &Time,
                control::EvidenceSink &Evidence);
  ~TrafficWorker();

  TrafficWorker(const TrafficWorker &) = delete;
  TrafficWorker &operator=(const TrafficWorker &) = delete;

  /// Queues a task; tasks run on the traffic thread in the order of posting.
  /// Thread-safe.
  void post(Task Work);
  /// Passes a view to the thread; a newer view replaces one that the thread has
  /// not taken yet. Thread-safe.
  void updateView(std::shared_ptr<const control::ControlView> View);

  /// Stops the thread when no query runs any more, at the latest after Grace;
  /// queries that still run then are aborted. Thread-safe. Nothing may be
  /// posted afterwards.
  void beginStop(std::chrono::milliseconds Grace);
  /// Waits for the end of the thread.
  void join();

private:
  void run();
  void processPolls();
  bool shouldStop() const;
  std::chrono::milliseconds untilNextEvent() const;
  void applyNextView();
  void applyLimits(const control::ControlView &View);

  const common::Clock &TimeSource;
  common::ServiceName Name;
  control::EvidenceSink &Sink;
  CurlAttemptSender Sender;
  common::SeededRandom PollRandom;
  PollSchedule Polls;
  ServiceEngine Engine;
  MessageQueue<Task> Tasks;
  std::mutex ViewMutex;
  /// Null if the thread has taken the latest view. Guarded by ViewMutex.
  std::shared_ptr<const control::ControlView> NextView;
  bool IsStopping = false;
  common::MonotonicTime StopAt;
  std::thread Thread;
};

} // namespace acaciacross::traffic

#endif
