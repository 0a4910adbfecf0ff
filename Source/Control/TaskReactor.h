#ifndef ACACIACROSS_CONTROL_TASKREACTOR_H
#define ACACIACROSS_CONTROL_TASKREACTOR_H

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>
#include <ace/Timer_Queuefwd.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace acaciacross::control {

/// An ACE reactor that runs tasks of other threads and a periodic tick on the
/// thread that calls run.
class TaskReactor final : public ACE_Event_Handler {
public:
  using Task = std::function<void()>;

  /// AfterWork is called on the reactor's thread after tasks and ticks.
  explicit TaskReactor(Task AfterWork);
  ~TaskReactor() override;

  /// Thread-safe. Wakes the reactor.
  void post(Task Work);
  /// The same for work that may be left out when the reactor is far behind.
  void postOptional(Task Work);

  /// Until end is called.
  void run(std::chrono::milliseconds TickPeriod, Task Tick);
  /// Thread-safe. Tasks that have not run are dropped.
  void end();

  ACE_Reactor &events();

  /// Runs Work; an exception is logged, because one faulty message must not
  /// stop the control of this VM.
  static void runGuarded(const Task &Work);

private:
  int handle_input(ACE_HANDLE Handle) override;
  int handle_timeout(const ACE_Time_Value &Now, const void *Argument) override;

  bool enqueue(Task Work, std::size_t MaxPending);
  void runTasks();

  Task Settle;
  Task Tick;
  std::unique_ptr<ACE_Timer_Queue> Timers;
  std::unique_ptr<ACE_Reactor> Reactor;

  std::mutex Mutex;
  /// The members below are guarded by Mutex.
  std::vector<Task> Pending;
  bool Ended = false;
};

} // namespace acaciacross::control

#endif
