#ifndef ACACIACROSS_STANDINS_HTTP_TERMINATIONSIGNALS_H
#define ACACIACROSS_STANDINS_HTTP_TERMINATIONSIGNALS_H

#include <csignal>

namespace acaciacross::standins {

/// Blocks SIGTERM and SIGINT in this thread and every thread that it starts
/// later, so that only wait() receives them, and ignores SIGPIPE. Create it in
/// main before any thread.
class TerminationSignals {
public:
  TerminationSignals() {
    std::signal(SIGPIPE, SIG_IGN);
    sigemptyset(&this->Signals);
    sigaddset(&this->Signals, SIGTERM);
    sigaddset(&this->Signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &this->Signals, nullptr);
  }

  /// Returns when the process receives SIGTERM or SIGINT.
  void wait() {
    int Signal = 0;
    sigwait(&this->Signals, &Signal);
  }

private:
  sigset_t Signals{};
};

} // namespace acaciacross::standins

#endif
