#include "TestSupport/EventQueue.h"

namespace acaciacross::testsupport {

common::MonotonicTime EventQueue::now() const {
  return this->Clock.monotonicNow();
}

common::WallTime EventQueue::wallNow() const { return this->Clock.wallNow(); }

void EventQueue::at(common::MonotonicTime Then, Action Todo) {
  this->Pending.emplace(Key(Then, this->Added++), std::move(Todo));
}

void EventQueue::after(std::chrono::nanoseconds Delay, Action Todo) {
  this->at(this->now() + Delay, std::move(Todo));
}

bool EventQueue::runNext() {
  if (this->Pending.empty())
    return false;
  auto Next = this->Pending.extract(this->Pending.begin());
  this->Clock.advanceTo(Next.key().first);
  Next.mapped()();
  return true;
}

void EventQueue::runUntil(common::MonotonicTime Then) {
  while (!this->Pending.empty() && this->Pending.begin()->first.first <= Then)
    this->runNext();
  this->Clock.advanceTo(Then);
}

void EventQueue::runAll() {
  while (this->runNext()) {
  }
}

} // namespace acaciacross::testsupport
