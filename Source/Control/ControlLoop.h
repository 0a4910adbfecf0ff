#ifndef ACACIACROSS_CONTROL_CONTROLLOOP_H
#define ACACIACROSS_CONTROL_CONTROLLOOP_H

#include "Control/ControlState.h"
#include "Control/TaskReactor.h"
#include "Control/ViewListener.h"

#include <functional>
#include <memory>
#include <vector>

namespace acaciacross::control {

/// What runs on the control thread: tasks of other threads, the tick, and the
/// publication of views.
class ControlLoop {
public:
  using Task = std::function<void(ControlState &)>;

  ControlLoop(std::unique_ptr<ControlState> Owned,
              const common::Clock &TimeSource);

  /// Thread-safe. Wakes the loop.
  void post(Task Work);
  /// The same for work that may be left out when the loop is far behind.
  void postOptional(Task Work);

  /// Only before run.
  void addListener(ViewListener &Listener);

  /// Until end is called.
  void run();
  /// Thread-safe. Tasks that have not run are dropped.
  void end();

  ACE_Reactor &events();
  ControlState &state();

private:
  void publishWhenDue();

  const common::Clock &Time;
  std::unique_ptr<ControlState> State;
  std::vector<ViewListener *> Listeners;
  TaskReactor Reactor;
  common::MonotonicTime PublishedAt;
  bool HasPublished = false;
};

} // namespace acaciacross::control

#endif
