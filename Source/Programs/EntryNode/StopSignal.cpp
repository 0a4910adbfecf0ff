#include "Programs/EntryNode/StopSignal.h"

namespace acaciacross::entry {

StopSignal::StopSignal() {
  ::sigemptyset(&this->Signals);
  ::sigaddset(&this->Signals, SIGTERM);
  ::sigaddset(&this->Signals, SIGINT);
  ::pthread_sigmask(SIG_BLOCK, &this->Signals, nullptr);
  // Writing to a connection that the peer has closed must not end this process.
  ::signal(SIGPIPE, SIG_IGN);
}

int StopSignal::wait() {
  int Number = 0;
  ::sigwait(&this->Signals, &Number);
  return Number;
}

} // namespace acaciacross::entry
