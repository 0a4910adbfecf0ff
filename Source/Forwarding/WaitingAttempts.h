#ifndef ACACIACROSS_FORWARDING_WAITINGATTEMPTS_H
#define ACACIACROSS_FORWARDING_WAITINGATTEMPTS_H

#include "Forwarding/AttemptListener.h"
#include "Forwarding/Urgency.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

namespace acaciacross::forwarding {

/// Attempts of one priority that wait for a connection to a service. Callers
/// take turns: the next attempt of a caller counts as one turn later than its
/// last. Attempts that can't be in time any more come last.
class WaitingAttempts {
public:
  void add(AttemptListener &Listener, const Urgency &Place);
  void remove(AttemptListener &Listener);
  /// Moves the attempts that can't be in time any more behind the others.
  void separateLate(common::MonotonicTime Now);
  /// Removes and returns the first listener; there must be one.
  AttemptListener *takeFirst();

  std::size_t size() const;
  /// Whether an attempt was not found late by separateLate.
  bool hasAnyInTime() const;

private:
  /// Turn and order of arrival.
  using Position = std::pair<std::uint64_t, std::uint64_t>;
  using Queue = std::map<Position, AttemptListener *>;

  struct Entry {
    Position Place;
    common::MonotonicTime LatestStart;
    common::CallerHost Caller;
  };
  struct CallerTurns {
    std::uint64_t Last = 0;
    std::uint64_t WaitingCount = 0;
  };

  std::uint64_t nextTurn(const common::CallerHost &Caller);
  void dropPastCallers();

  Queue InTime;
  Queue Late;
  /// The attempts of InTime by the time from which they are late.
  std::set<std::pair<common::MonotonicTime, Position>> ByLatestStart;
  std::unordered_map<AttemptListener *, Entry> Entries;
  std::unordered_map<common::CallerHost, CallerTurns> Callers;
  std::uint64_t CurrentTurn = 0;
  std::uint64_t ArrivalCount = 0;
};

} // namespace acaciacross::forwarding

#endif
