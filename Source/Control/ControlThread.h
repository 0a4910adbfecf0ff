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

/// The thread that owns the control state. It sleeps in a reactor, on which
/// other modules may register handlers that then run on this thread.
class ControlThread final : public EvidenceSink {
public:
  /// Time must outlive the thread.
  ControlThread(std::unique_ptr<ControlState> Owned,
                const common::Clock &TimeSource);
  ~ControlThread() override;
  ControlThread(const ControlThread &) = delete;
  ControlThread &operator=(const ControlThread &) = delete;

  /// Thread-safe, also before start. Tasks run in the order of their posting;
  /// after stop they are dropped.
  void post(std::function<void(ControlState &)> Task);

  /// Thread-safe. Evidence and pages are dropped when the control thread is far
  /// behind.
  void report(std::vector<UpstreamEvidence> Batch) override;
  void reportPages(std::vector<upstreams::PolledPage> Batch) override;

  /// Only before start. The listener must outlive the thread.
  void addListener(ViewListener &Listener);

  void start();
  /// Ends the thread and waits for it. Not from the thread itself.
  void stop();

  /// Handlers that are registered here run on the control thread; they must be
  /// removed before this object is destroyed.
  ACE_Reactor &reactor();

  /// Only on the control thread (in tasks and handlers), or before start.
  ControlState &state();

private:
  std::unique_ptr<ControlLoop> Loop;
  std::thread Worker;
};

} // namespace acaciacross::control

#endif
