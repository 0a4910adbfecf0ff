#ifndef ACACIACROSS_FRONTEND_AUDITRESPONDER_H
#define ACACIACROSS_FRONTEND_AUDITRESPONDER_H

#include "Frontend/AuditSink.h"
#include "Frontend/ResponseSink.h"

#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace acaciacross::frontend {

/// Answers a call with entries of the audit trail.
class AuditResponder final : public AuditSink {
public:
  using Encoder =
      std::function<HttpResponse(const std::vector<control::AuditEntry> &)>;

  AuditResponder(Encoder Chosen, std::shared_ptr<ResponseSink> Target)
      : Encode(std::move(Chosen)), Sink(std::move(Target)) {}

  void onEntries(std::vector<control::AuditEntry> Entries) override {
    this->Sink->respond([Encode = this->Encode, Given = std::move(Entries)] {
      return Encode(Given);
    });
  }

private:
  Encoder Encode;
  std::shared_ptr<ResponseSink> Sink;
};

} // namespace acaciacross::frontend

#endif
