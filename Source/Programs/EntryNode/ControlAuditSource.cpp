#include "Programs/EntryNode/ControlAuditSource.h"

#include <utility>

namespace acaciacross::entry {

ControlAuditSource::ControlAuditSource(control::ControlThread &Control)
    : Control(Control) {}

void ControlAuditSource::requestEntriesAfter(
    std::uint64_t Sequence, std::shared_ptr<frontend::AuditSink> Sink) {
  this->Control.post(
      [Sequence, Target = std::move(Sink)](control::ControlState &State) {
        Target->onEntries(State.audit().after(Sequence));
      });
}

} // namespace acaciacross::entry
