#ifndef ACACIACROSS_FRONTEND_AUDITSOURCE_H
#define ACACIACROSS_FRONTEND_AUDITSOURCE_H

#include "Frontend/AuditSink.h"

#include <cstdint>
#include <memory>

namespace acaciacross::frontend {

/// Reads the audit trail. Thread-safe; returns at once.
class AuditSource {
public:
  virtual ~AuditSource() = default;

  /// Entries with a higher sequence number.
  virtual void requestAfter(std::uint64_t Sequence,
                            std::shared_ptr<AuditSink> Sink) = 0;
};

} // namespace acaciacross::frontend

#endif
