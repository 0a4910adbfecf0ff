#ifndef ACACIACROSS_FRONTEND_AUDITSINK_H
#define ACACIACROSS_FRONTEND_AUDITSINK_H

#include "Control/AuditEntry.h"

#include <vector>

namespace acaciacross::frontend {

/// Takes entries of the audit trail. Called once, on any thread; must return at
/// once.
class AuditSink {
public:
  virtual ~AuditSink() = default;

  virtual void onEntries(std::vector<control::AuditEntry> Entries) = 0;
};

} // namespace acaciacross::frontend

#endif
