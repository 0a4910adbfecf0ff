#include "Control/ControlLoop.h"

#include <chrono>
#include <utility>

namespace acaciacross::control {

namespace {

constexpr std::chrono::milliseconds TickPeriod{50};
constexpr std::chrono::milliseconds MaxViewAge{500};

} // namespace

ControlLoop::ControlLoop(std::unique_ptr<ControlState> InitialState,
                         const common::Clock &TimeSource)
    : Time(TimeSource), State(std::move(InitialState)),
      Reactor([this] { this->publishIfDue(); }) {}

void ControlLoop::post(Task Work) {
  this->Reactor.post([this, Work = std::move(Work)] { Work(*this->State); });
}

void ControlLoop::postOptional(Task Work) {
  this->Reactor.postOptional(
      [this, Work = std::move(Work)] { Work(*this->State); });
}

void ControlLoop::addListener(ViewListener &Listener) {
  this->Listeners.push_back(&Listener);
}

void ControlLoop::run() {
  this->Reactor.run(TickPeriod, [this] { this->State->tick(); });
}

void ControlLoop::end() { this->Reactor.end(); }

ACE_Reactor &ControlLoop::events() { return this->Reactor.events(); }

ControlState &ControlLoop::state() { return *this->State; }

void ControlLoop::publishIfDue() {
  const common::MonotonicTime Now = this->Time.monotonicNow();
  const bool IsDue = !this->HasPublished || this->State->hasChanged() ||
                     Now - this->PublishedAt >= MaxViewAge;
  if (!IsDue)
    return;
  this->HasPublished = true;
  this->PublishedAt = Now;
  const std::shared_ptr<const ControlView> View = this->State->buildView();
  for (ViewListener *Listener : this->Listeners)
    TaskReactor::runAndLogErrors([&] { Listener->onView(View); });
}

} // namespace acaciacross::control
