#ifndef ACACIACROSS_TESTSUPPORT_EVENTQUEUE_H
#define ACACIACROSS_TESTSUPPORT_EVENTQUEUE_H

#include "TestSupport/ManualClock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace acaciacross::testsupport {

/// Runs actions in order of their virtual times, and those of the same time in
/// the order in which they were added.
class EventQueue {
public:
  using Action = std::function<void()>;

  common::MonotonicTime now() const;
  common::WallTime wallNow() const;

  void at(common::MonotonicTime Time, Action Task);
  void after(std::chrono::nanoseconds Delay, Action Task);

  /// Moves the clock to the time of the next action and runs it. False when
  /// there is none.
  bool runNext();
  /// Runs all actions that are due up to a time and moves the clock there.
  void runUntil(common::MonotonicTime Time);
  void runAll();

private:
  /// Time and number of an action.
  using Key = std::pair<common::MonotonicTime, std::uint64_t>;

  ManualClock Clock;
  std::map<Key, Action> Pending;
  std::uint64_t AddedCount = 0;
};

} // namespace acaciacross::testsupport

#endif
