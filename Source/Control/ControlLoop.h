#ifndef ACACIACROSS_CONTROL_CONTROLLOOP_H
#define ACACIACROSS_CONTROL_CONTROLLOOP_H

#include "Control/ControlState.h"
#include "Control/TaskReactor.h"
#include "Control/ViewListener.h"

#include <functional>
#include <memory>
#include <vector>

namespace acaciacross::control {

/// Event loop of the control thread. It runs tasks of other threads and the
/// periodic tick of the control state, and publishes views.
class ControlLoop {
public:
  using Task = std::function<void(ControlState &)>;

  ControlLoop(std::unique_ptr<ControlState> InitialState,
              const common::Clock &TimeSource);

  /// Queues a task and wakes the loop. Thread-safe.
  void post(Task Work);

  /// Like post, but drops the task if too many tasks are queued.
  void postOptional(Task Work);

  /// Must be called before run.
  void addListener(ViewListener &Listener);

  /// Runs the loop until end is called.
  void run();
  /// Stops the loop and drops the tasks that have not run. Thread-safe.
  void end();

  ACE_Reactor &events();
  ControlState &state();

private:
  void publishIfDue();

  const common::Clock &Time;
  std::unique_ptr<ControlState> State;
  std::vector<ViewListener *> Listeners;
  TaskReactor Reactor;
  common::MonotonicTime PublishedAt;
  bool HasPublished = false;
};

} // namespace acaciacross::control

#endif
