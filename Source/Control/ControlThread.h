#ifndef ACACIACROSS_CONTROL_CONTROLTHREAD_H
#define ACACIACROSS_CONTROL_CONTROLTHREAD_H

#include "Control/ControlState.h"
#include "Control/EvidenceSink.h"
#include "Control/ViewListener.h"

#include <functional>
#include <memory>
#include <thread>
#include <vector>

class ACE_Reactor;

namespace acaciacross::control {

class ControlLoop;

/// The thread that owns the control state. It waits in a reactor, in which
/// other modules may register handlers that then run on this thread.
class ControlThread final : public EvidenceSink {
public:
  /// TimeSource must outlive the thread.
  ControlThread(std::unique_ptr<ControlState> InitialState,
                const common::Clock &TimeSource);
  ~ControlThread() override;
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  /// Queues a task. Thread-safe, also before start. Tasks run in the order in
  /// which they were posted; after stop they are dropped.
  void post(std::function<void(ControlState &)> Task);

  /// Thread-safe. Evidence and pages are dropped if too many tasks are queued.
  void reportEvidence(std::vector<UpstreamEvidence> Batch) override;
  void reportPages(std::vector<upstreams::PolledPage> Batch) override;

  /// Must be called before start. The listener must outlive the thread.
  void addListener(ViewListener &Listener);

  void start();
  /// Stops the thread and waits for it. Must not be called on the thread
  /// itself.
  void stop();

  /// Handlers registered in the reactor run on the control thread. They must be
  /// removed before this object is destroyed.
  ACE_Reactor &reactor();

  /// Must be called on the control thread (in tasks and handlers) or before
  /// start.
  ControlState &state();

private:
  std::unique_ptr<ControlLoop> Loop;
  std::thread Thread;
};

} // namespace acaciacross::control

#endif
