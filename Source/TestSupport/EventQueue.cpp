#include "TestSupport/EventQueue.h"

namespace acaciacross::testsupport {

common::MonotonicTime EventQueue::now() const {
  return this->Clock.monotonicNow();
}

common::WallTime EventQueue::wallNow() const { return this->Clock.wallNow(); }

void EventQueue::at(common::MonotonicTime Time, Action Task) {
  this->Pending.emplace(Key(Time, this->AddedCount++), std::move(Task));
}

void EventQueue::after(std::chrono::nanoseconds Delay, Action Task) {
  this->at(this->now() + Delay, std::move(Task));
}

bool EventQueue::runNext() {
  if (this->Pending.empty())
    return false;
  auto Next = this->Pending.extract(this->Pending.begin());
  this->Clock.advanceTo(Next.key().first);
  Next.mapped()();
  return true;
}

void EventQueue::runUntil(common::MonotonicTime Time) {
  while (!this->Pending.empty() && this->Pending.begin()->first.first <= Time)
    this->runNext();
  this->Clock.advanceTo(Time);
}

void EventQueue::runAll() {
  while (this->runNext()) {
  }
}

} // namespace acaciacross::testsupport
