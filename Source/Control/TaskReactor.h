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

/// An ACE reactor that runs tasks posted by other threads and a periodic tick
/// on the thread that calls run.
class TaskReactor final : public ACE_Event_Handler {
public:
  using Task = std::function<void()>;

  /// AfterWorkCallback is called on the reactor's thread at the start of run,
  /// after each batch of tasks and after each tick.
  explicit TaskReactor(Task AfterWorkCallback);
  ~TaskReactor() override;

  /// Queues a task and wakes the reactor. Thread-safe.
  void post(Task Work);
  /// Like post, but drops the task if too many tasks are queued.
  void postOptional(Task Work);

  /// Runs the reactor until end is called.
  void run(std::chrono::milliseconds TickPeriod, Task Tick);
  /// Stops the reactor and drops the tasks that have not run. Thread-safe.
  void end();

  ACE_Reactor &events();

  /// Runs Work and logs any exception it throws, because one faulty message
  /// must not stop the control thread.
  static void runAndLogErrors(const Task &Work);

private:
  int handle_input(ACE_HANDLE Handle) override;
  int handle_timeout(const ACE_Time_Value &Now, const void *Argument) override;

  /// Queues the task unless MaxPending tasks are queued or the reactor has been
  /// stopped. Returns whether the task was queued.
  bool enqueue(Task Work, std::size_t MaxPending);
  void runTasks();

  Task AfterWork;
  Task Tick;
  std::unique_ptr<ACE_Timer_Queue> Timers;
  std::unique_ptr<ACE_Reactor> Reactor;

  std::mutex Mutex;
  /// Mutex guards the members below.
  std::vector<Task> PendingTasks;
  bool IsStopped = false;
};

} // namespace acaciacross::control

#endif
