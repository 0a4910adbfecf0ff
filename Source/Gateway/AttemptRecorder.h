#ifndef ACACIACROSS_GATEWAY_ATTEMPTRECORDER_H
#define ACACIACROSS_GATEWAY_ATTEMPTRECORDER_H

#include "Common/Time.h"
#include "Gateway/DomainTraffic.h"
#include "Gateway/ResponseMetadata.h"
#include "Gateway/UpstreamAttempt.h"
#include "Http/Response.h"

#include <cstddef>
#include <string>

namespace acaciacross::gateway {

/// Updates the records of searchers, the statistics of routes and the counters
/// of traffic with what happens to attempts.
class AttemptRecorder {
public:
  /// FailureDomain: the failure domain of this VM.
  explicit AttemptRecorder(std::string FailureDomain);

  void recordSent(const UpstreamAttempt &Attempt, std::size_t Bytes);
  void recordResponse(const UpstreamAttempt &Attempt,
                      const ResponseMetadata &Metadata,
                      const http::Response &Response,
                      common::MonotonicTime Now);
  /// Records an abandoned attempt if it took much longer than usual.
  static void recordOverdue(const UpstreamAttempt &Attempt,
                            common::MonotonicTime Now);

  const DomainTraffic &domainTraffic() const;

private:
  bool isInOwnDomain(const UpstreamAttempt &Attempt) const;

  std::string FailureDomain;
  DomainTraffic TrafficByDomain;
};

} // namespace acaciacross::gateway

#endif
