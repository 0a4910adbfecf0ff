#ifndef ACACIACROSS_TESTSUPPORT_EVENTQUEUE_H
#define ACACIACROSS_TESTSUPPORT_EVENTQUEUE_H

#include "TestSupport/ManualClock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

namespace acaciacross::testsupport {

/// Runs actions in the order of their virtual times; those of the same time in
/// the order in which they were added.
class EventQueue {
public:
  using Action = std::function<void()>;

  common::MonotonicTime now() const;
  common::WallTime wallNow() const;

  void at(common::MonotonicTime Then, Action Todo);
  void after(std::chrono::nanoseconds Delay, Action Todo);

  /// Runs the next action; false when there is none.
  bool runNext();
  /// Runs everything that is due up to a time and moves the clock there.
  void runUntil(common::MonotonicTime Then);
  void runAll();

private:
  using Key = std::pair<common::MonotonicTime, std::uint64_t>;

  ManualClock Clock;
  std::map<Key, Action> Pending;
  std::uint64_t Added = 0;
};

} // namespace acaciacross::testsupport

#endif
