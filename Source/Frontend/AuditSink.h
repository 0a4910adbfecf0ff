#ifndef ACACIACROSS_FRONTEND_AUDITSINK_H
#define ACACIACROSS_FRONTEND_AUDITSINK_H

#include "Control/AuditEntry.h"

#include <vector>

namespace acaciacross::frontend {

/// Receives entries of the audit trail. onEntries is called once, on any
/// thread, and must not block.
class AuditSink {
public:
  virtual ~AuditSink() = default;

  virtual void onEntries(std::vector<control::AuditEntry> Entries) = 0;
};

} // namespace acaciacross::frontend

#endif
