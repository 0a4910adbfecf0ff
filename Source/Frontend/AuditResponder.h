#ifndef ACACIACROSS_FRONTEND_AUDITRESPONDER_H
#define ACACIACROSS_FRONTEND_AUDITRESPONDER_H

#include "Frontend/AuditSink.h"
#include "Frontend/EncodedResponse.h"

#include <utility>
#include <vector>

namespace acaciacross::frontend {

/// Answers a call with entries of the audit trail.
class AuditResponder final
    : public AuditSink,
      private EncodedResponse<std::vector<control::AuditEntry>> {
public:
  using EncodedResponse::EncodedResponse;

  void onEntries(std::vector<control::AuditEntry> Entries) override {
    this->respond(std::move(Entries));
  }
};

} // namespace acaciacross::frontend

#endif
