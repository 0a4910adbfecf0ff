#include "Control/ControlThread.h"

#include "Control/ControlLoop.h"

#include <utility>

namespace acaciacross::control {

ControlThread::ControlThread(std::unique_ptr<ControlState> InitialState,
                             const common::Clock &TimeSource)
    : Loop(std::make_unique<ControlLoop>(std::move(InitialState), TimeSource)) {
}

ControlThread::~ControlThread() { this->stop(); }

void ControlThread::post(std::function<void(ControlState &)> Task) {
  this->Loop->post(std::move(Task));
}

void ControlThread::reportEvidence(std::vector<UpstreamEvidence> Batch) {
  this->Loop->postOptional([Evidence = std::move(Batch)](ControlState &State) {
    State.applyEvidence(Evidence);
  });
}

void ControlThread::reportPages(std::vector<upstreams::PolledPage> Batch) {
  this->Loop->postOptional([Pages = std::move(Batch)](ControlState &State) {
    State.applyPages(Pages);
  });
}

void ControlThread::addListener(ViewListener &Listener) {
  this->Loop->addListener(Listener);
}

void ControlThread::start() {
  this->Thread = std::thread([this] { this->Loop->run(); });
}

void ControlThread::stop() {
  if (!this->Thread.joinable())
    return;
  this->Loop->end();
  this->Thread.join();
}

ACE_Reactor &ControlThread::reactor() { return this->Loop->events(); }

ControlState &ControlThread::state() { return this->Loop->state(); }

} // namespace acaciacross::control
