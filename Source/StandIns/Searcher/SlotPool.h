#ifndef ACACIACROSS_STANDINS_SEARCHER_SLOTPOOL_H
#define ACACIACROSS_STANDINS_SEARCHER_SLOTPOOL_H

#include "StandIns/Searcher/ConnectionWait.h"
#include "StandIns/Searcher/WakeEvent.h"

#include <cstdint>
#include <list>
#include <mutex>

namespace acaciacross::standins {

/// The slots of a searcher and the bounded queue of searches that wait for one.
/// Safe to use from several threads.
class SlotPool {
public:
  enum class Result { Granted, QueueFull, DeadlinePassed, ConnectionClosed };

  SlotPool(std::uint32_t Slots, std::uint32_t QueueLength);

  /// Waits for a slot; slots are granted in order of arrival. The caller
  /// releases the slot when the result is Granted.
  Result acquire(const ConnectionWait &Wait, common::MonotonicTime Deadline);
  void release();

  std::uint32_t slots() const;
  std::uint32_t busy() const;
  std::uint32_t queued() const;

private:
  struct Waiter {
    WakeEvent Event;
    bool IsGranted = false;
  };

  Result waitForSlot(std::list<Waiter>::iterator Position,
                     const ConnectionWait &Wait,
                     common::MonotonicTime Deadline);

  std::uint32_t Slots;
  std::uint32_t QueueLength;
  mutable std::mutex Mutex;
  std::uint32_t Busy = 0;
  std::list<Waiter> Queue;
};

} // namespace acaciacross::standins

#endif
