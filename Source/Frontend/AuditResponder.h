#ifndef ACACIACROSS_FRONTEND_AUDITRESPONDER_H
#define ACACIACROSS_FRONTEND_AUDITRESPONDER_H

#include "Frontend/AuditSink.h"
#include "Frontend/EncodingResponder.h"

#include <utility>
#include <vector>

namespace acaciacross::frontend {

/// Responds to a request with entries of the audit trail.
class AuditResponder final
    : public AuditSink,
      private EncodingResponder<std::vector<control::AuditEntry>> {
public:
  using EncodingResponder::EncodingResponder;

  void onEntries(std::vector<control::AuditEntry> Entries) override {
    this->respond(std::move(Entries));
  }
};

} // namespace acaciacross::frontend

#endif
