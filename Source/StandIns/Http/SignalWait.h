#ifndef ACACIACROSS_STANDINS_HTTP_SIGNALWAIT_H
#define ACACIACROSS_STANDINS_HTTP_SIGNALWAIT_H

#include <csignal>

namespace acaciacross::standins {

/// Keeps SIGTERM and SIGINT from every thread started later, so that wait()
/// receives them. Made first in main.
class SignalWait {
public:
  SignalWait() {
    std::signal(SIGPIPE, SIG_IGN);
    sigemptyset(&this->Signals);
    sigaddset(&this->Signals, SIGTERM);
    sigaddset(&this->Signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &this->Signals, nullptr);
  }

  void wait() {
    int Received = 0;
    sigwait(&this->Signals, &Received);
  }

private:
  sigset_t Signals{};
};

} // namespace acaciacross::standins

#endif
