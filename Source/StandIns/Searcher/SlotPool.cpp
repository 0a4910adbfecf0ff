#include "StandIns/Searcher/SlotPool.h"

namespace acaciacross::standins {

SlotPool::SlotPool(std::uint32_t Slots, std::uint32_t QueueLength)
    : Slots(Slots), QueueLength(QueueLength) {}

SlotPool::Result SlotPool::acquire(const PeerWait &Peer,
                                   common::MonotonicTime Deadline) {
  std::list<Waiter>::iterator Place;
  {
    const std::scoped_lock Lock(this->Mutex);
    if (this->Busy < this->Slots) {
      ++this->Busy;
      return Result::Granted;
    }
    if (this->Queue.size() >= this->QueueLength)
      return Result::QueueFull;
    Place = this->Queue.emplace(this->Queue.end());
  }
  return this->await(Place, Peer, Deadline);
}

void SlotPool::release() {
  const std::scoped_lock Lock(this->Mutex);
  for (Waiter &Next : this->Queue) {
    if (Next.Granted)
      continue;
    // The slot stays busy and passes on to the waiter.
    Next.Granted = true;
    Next.Wake.set();
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

SlotPool::Result SlotPool::await(std::list<Waiter>::iterator Place,
                                 const PeerWait &Peer,
                                 common::MonotonicTime Deadline) {
  const auto Waited = Peer.until(Deadline, Place->Wake.descriptor());
  bool Granted = false;
  {
    const std::scoped_lock Lock(this->Mutex);
    Granted = Place->Granted;
    this->Queue.erase(Place);
  }
  if (Waited == PeerWait::Result::EventSet)
    return Result::Granted;
  // The slot may have been passed on after the wait had ended.
  if (Granted)
    this->release();
  return Waited == PeerWait::Result::PeerClosed ? Result::PeerClosed
                                                : Result::DeadlinePassed;
}

} // namespace acaciacross::standins
