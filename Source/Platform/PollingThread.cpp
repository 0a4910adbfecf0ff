#include "Platform/PollingThread.h"

namespace acaciacross::platform {

PollingThread::PollingThread(PollStep &RepeatedStep) : Step(RepeatedStep) {}

PollingThread::~PollingThread() { this->stop(); }

void PollingThread::start() {
  this->Worker = std::thread([this] { this->run(); });
}

void PollingThread::stop() {
  if (!this->Worker.joinable())
    return;
  this->IsStopping = true;
  this->wake();
  this->Worker.join();
}

void PollingThread::wake() {
  this->IsWoken = true;
  this->Fetcher.wake();
}

void PollingThread::run() {
  while (!this->IsStopping) {
    const auto Wait = this->Step.runStep(
        this->Fetcher, [this] { return this->IsStopping.load(); });
    const auto WakeTime = std::chrono::steady_clock::now() + Wait;
    this->sleepUntil(WakeTime);
  }
}

void PollingThread::sleepUntil(common::MonotonicTime WakeTime) {
  while (!this->IsStopping && !this->IsWoken.exchange(false)) {
    const auto Left = WakeTime - std::chrono::steady_clock::now();
    if (Left <= std::chrono::nanoseconds(0))
      return;
    this->Fetcher.wait(std::chrono::ceil<std::chrono::milliseconds>(Left));
  }
}

} // namespace acaciacross::platform
