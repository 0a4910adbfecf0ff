#include "Platform/PollingThread.h"

namespace acaciacross::platform {

PollingThread::PollingThread(PollStep &Repeated) : Step(Repeated) {}

PollingThread::~PollingThread() { this->stop(); }

void PollingThread::start() {
  this->Worker = std::thread([this] { this->run(); });
}

void PollingThread::stop() {
  if (!this->Worker.joinable())
    return;
  this->Stopping = true;
  this->wake();
  this->Worker.join();
}

void PollingThread::wake() {
  this->Woken = true;
  this->Fetcher.wake();
}

void PollingThread::run() {
  while (!this->Stopping) {
    const auto Wait = this->Step.runStep(
        this->Fetcher, [this] { return this->Stopping.load(); });
    const auto Due = std::chrono::steady_clock::now() + Wait;
    this->sleepUntil(Due);
  }
}

void PollingThread::sleepUntil(common::MonotonicTime Due) {
  while (!this->Stopping && !this->Woken.exchange(false)) {
    const auto Left = Due - std::chrono::steady_clock::now();
    if (Left <= std::chrono::nanoseconds(0))
      return;
    this->Fetcher.wait(std::chrono::ceil<std::chrono::milliseconds>(Left));
  }
}

} // namespace acaciacross::platform
