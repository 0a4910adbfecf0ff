#include "StandIns/Searcher/WakeEvent.h"

#include "Common/Error.h"

#include <sys/eventfd.h>
#include <unistd.h>

namespace acaciacross::standins {

WakeEvent::WakeEvent() : Descriptor(eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK)) {
  if (this->Descriptor < 0)
    throw common::Error(common::ResultCode::SocketFailed, "eventfd failed");
}

WakeEvent::~WakeEvent() { close(this->Descriptor); }

void WakeEvent::set() { eventfd_write(this->Descriptor, 1); }

int WakeEvent::descriptor() const { return this->Descriptor; }

} // namespace acaciacross::standins
