#ifndef ACACIACROSS_CONTROL_CONTROLLOOP_H
#define ACACIACROSS_CONTROL_CONTROLLOOP_H

#include "Control/ControlState.h"
#include "Control/ViewListener.h"

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Timer_Queuefwd.h>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace acaciacross::control {

/// What runs on the control thread: tasks of other threads, the tick, and the
/// publication of views.
class ControlLoop final : public ACE_Event_Handler {
public:
  using Task = std::function<void(ControlState &)>;

  ControlLoop(std::unique_ptr<ControlState> Owned,
              const common::Clock &TimeSource);
  ~ControlLoop() override;

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
  int handle_input(ACE_HANDLE Handle) override;
  int handle_timeout(const ACE_Time_Value &Now, const void *Argument) override;

  bool enqueue(Task Work, std::size_t MaxPending);
  void runTasks();
  /// Runs Work; an exception is logged, because one faulty message must not
  /// stop the control of this VM.
  void runGuarded(const std::function<void()> &Work);
  void publishWhenDue();

  const common::Clock &Time;
  std::unique_ptr<ControlState> State;
  std::vector<ViewListener *> Listeners;
  std::unique_ptr<ACE_Timer_Queue> Timers;
  std::unique_ptr<ACE_Reactor> Reactor;
  common::MonotonicTime PublishedAt;
  bool HasPublished = false;

  std::mutex Mutex;
  /// The members below are guarded by Mutex.
  std::vector<Task> Pending;
  bool Ended = false;
};

} // namespace acaciacross::control

#endif
