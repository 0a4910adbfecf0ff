#include "Programs/EntryNode/ControlAuditSource.h"

#include <utility>

namespace acaciacross::entry {

ControlAuditSource::ControlAuditSource(control::ControlThread &Owner)
    : Control(Owner) {}

void ControlAuditSource::requestEntriesAfter(
    std::uint64_t Sequence, std::shared_ptr<frontend::AuditSink> Sink) {
  this->Control.post(
      [Sequence, Receiver = std::move(Sink)](control::ControlState &State) {
        Receiver->onEntries(State.audit().after(Sequence));
      });
}

} // namespace acaciacross::entry
