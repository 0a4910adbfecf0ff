#ifndef ACACIACROSS_FORWARDING_URGENCYORDER_H
#define ACACIACROSS_FORWARDING_URGENCYORDER_H

#include "Forwarding/AttemptListener.h"
#include "Forwarding/ServedShare.h"
#include "Forwarding/WaitingAttempts.h"

#include <cstddef>
#include <map>
#include <unordered_map>

namespace acaciacross::forwarding {

/// Decides which of the attempts that wait for a connection to a service gets
/// the next one. In a burst, or when searchers are slow, the most urgent ones
/// that can still be in time go first; callers of the same priority take turns,
/// so that one that repeats without pause does not displace the others; no
/// priority is starved.
class UrgencyOrder {
public:
  /// Does nothing when the listener already waits.
  void add(AttemptListener &Listener, const Urgency &Place);
  void remove(AttemptListener &Listener);
  /// Removes and returns the next listener; null when none waits.
  AttemptListener *takeNext(common::MonotonicTime Now);

  std::size_t size() const;
  /// Number of waiting attempts with the given or a more urgent priority.
  std::size_t countUpTo(int Priority) const;

private:
  struct Level {
    WaitingAttempts Waiting;
    ServedShare Share;
  };
  using LevelMap = std::map<int, Level>;

  LevelMap::iterator chooseLevel();
  /// The most urgent level with an attempt that can be in time, or else with
  /// any attempt.
  LevelMap::iterator firstLevel();
  void countServed(Level &Served);

  LevelMap Levels;
  std::unordered_map<AttemptListener *, int> PriorityByListener;
  ServedShare All;
};

} // namespace acaciacross::forwarding

#endif
