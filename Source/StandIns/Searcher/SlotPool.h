#ifndef ACACIACROSS_STANDINS_SEARCHER_SLOTPOOL_H
#define ACACIACROSS_STANDINS_SEARCHER_SLOTPOOL_H

#include "StandIns/Searcher/PeerWait.h"
#include "StandIns/Searcher/WakeEvent.h"

#include <cstdint>
#include <list>
#include <mutex>

namespace acaciacross::standins {

/// The slots of a searcher and its short queue in front of them.
class SlotPool {
public:
  enum class Result { Granted, QueueFull, DeadlinePassed, PeerClosed };

  SlotPool(std::uint32_t Slots, std::uint32_t QueueLength);

  /// Waits for a slot in order of arrival.
  Result acquire(const PeerWait &Peer, common::MonotonicTime Deadline);
  void release();

  std::uint32_t slots() const;
  std::uint32_t busy() const;
  std::uint32_t queued() const;

private:
  struct Waiter {
    WakeEvent Wake;
    bool Granted = false;
  };

  Result await(std::list<Waiter>::iterator Place, const PeerWait &Peer,
               common::MonotonicTime Deadline);

  std::uint32_t Slots;
  std::uint32_t QueueLength;
  mutable std::mutex Mutex;
  std::uint32_t Busy = 0;
  std::list<Waiter> Queue;
};

} // namespace acaciacross::standins

#endif
