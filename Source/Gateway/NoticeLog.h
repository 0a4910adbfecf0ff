#ifndef ACACIACROSS_GATEWAY_NOTICELOG_H
#define ACACIACROSS_GATEWAY_NOTICELOG_H

#include "Forwarding/SearcherNotice.h"
#include "Gateway/UpstreamAttempt.h"
#include "Logging/EventLog.h"

namespace acaciacross::gateway {

/// Logs what searchers say of themselves in responses.
class NoticeLog {
public:
  /// The log must outlive this.
  explicit NoticeLog(logging::EventLog &Log);

  /// Attempt: the attempt whose response brought the notice.
  void write(const UpstreamAttempt &Attempt,
             const forwarding::SearcherNotice &Notice);

private:
  logging::EventLog &Log;
};

} // namespace acaciacross::gateway

#endif
