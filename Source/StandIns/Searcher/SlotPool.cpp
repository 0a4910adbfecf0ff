#include "StandIns/Searcher/SlotPool.h"

namespace acaciacross::standins {

SlotPool::SlotPool(std::uint32_t Slots, std::uint32_t QueueLength)
    : Slots(Slots), QueueLength(QueueLength) {}

SlotPool::Result SlotPool::acquire(const ConnectionWait &Wait,
                                   common::MonotonicTime Deadline) {
  std::list<Waiter>::iterator Position;
  {
    const std::scoped_lock Lock(this->Mutex);
    if (this->Busy < this->Slots) {
      ++this->Busy;
      return Result::Granted;
    }
    if (this->Queue.size() >= this->QueueLength)
      return Result::QueueFull;
    Position = this->Queue.emplace(this->Queue.end());
  }
  return this->waitForSlot(Position, Wait, Deadline);
}

void SlotPool::release() {
  const std::scoped_lock Lock(this->Mutex);
  for (Waiter &Next : this->Queue) {
    if (Next.IsGranted)
      continue;
    // The waiter takes over the slot, which stays busy.
    Next.IsGranted = true;
    Next.Event.set();
    return;
  }
  --this->Busy;
}

std::uint32_t SlotPool::slots() const { return this->Slots; }

std::uint32_t SlotPool::busy() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Busy;
}

std::uint32_t SlotPool::queued() const {
  const std::scoped_lock Lock(this->Mutex);
  return static_cast<std::uint32_t>(this->Queue.size());
}

SlotPool::Result SlotPool::waitForSlot(std::list<Waiter>::iterator Position,
                                       const ConnectionWait &Wait,
                                       common::MonotonicTime Deadline) {
  const auto WaitResult = Wait.until(Deadline, Position->Event.descriptor());
  bool IsGranted = false;
  {
    const std::scoped_lock Lock(this->Mutex);
    IsGranted = Position->IsGranted;
    this->Queue.erase(Position);
  }
  if (WaitResult == ConnectionWait::Result::EventSet)
    return Result::Granted;
  // release() may have granted the slot between the end of the wait and the
  // lock.
  if (IsGranted)
    this->release();
  return WaitResult == ConnectionWait::Result::ConnectionClosed
             ? Result::ConnectionClosed
             : Result::DeadlinePassed;
}

} // namespace acaciacross::standins
