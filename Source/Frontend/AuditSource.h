#ifndef ACACIACROSS_FRONTEND_AUDITSOURCE_H
#define ACACIACROSS_FRONTEND_AUDITSOURCE_H

#include "Frontend/AuditSink.h"

#include <cstdint>
#include <memory>

namespace acaciacross::frontend {

/// Reads the audit trail. Thread-safe and non-blocking.
class AuditSource {
public:
  virtual ~AuditSource() = default;

  /// Passes the entries with a higher sequence number to the sink.
  virtual void requestEntriesAfter(std::uint64_t Sequence,
                                   std::shared_ptr<AuditSink> Sink) = 0;
};

} // namespace acaciacross::frontend

#endif
