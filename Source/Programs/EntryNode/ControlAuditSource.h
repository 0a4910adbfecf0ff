#ifndef ACACIACROSS_PROGRAMS_ENTRYNODE_CONTROLAUDITSOURCE_H
#define ACACIACROSS_PROGRAMS_ENTRYNODE_CONTROLAUDITSOURCE_H

#include "Control/ControlThread.h"
#include "Frontend/AuditSource.h"

namespace acaciacross::entry {

/// Reads the audit trail on the control thread, which owns it.
class ControlAuditSource final : public frontend::AuditSource {
public:
  /// The control thread must outlive the source.
  explicit ControlAuditSource(control::ControlThread &Control);

  void requestEntriesAfter(std::uint64_t Sequence,
                           std::shared_ptr<frontend::AuditSink> Sink) override;

private:
  control::ControlThread &Control;
};

} // namespace acaciacross::entry

#endif
