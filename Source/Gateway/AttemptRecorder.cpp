#include "Gateway/AttemptRecorder.h"

#include <chrono>
#include <utility>

namespace acaciacross::gateway {

namespace {

// An abandoned attempt that took this many times the typical latency counts as
// a sign that its searcher is slow or silent.
constexpr int OverdueFactor = 4;

std::chrono::nanoseconds typicalLatency(const UpstreamAttempt &Attempt) {
  return Attempt.Statistics->typical(Attempt.Request->Target->LatencyTarget);
}

} // namespace

AttemptRecorder::AttemptRecorder(std::string FailureDomain)
    : FailureDomain(std::move(FailureDomain)) {}

void AttemptRecorder::recordSent(const UpstreamAttempt &Attempt,
                                 std::size_t Bytes) {
  this->TrafficByDomain.recordSent(this->isInOwnDomain(Attempt), Bytes);
}

void AttemptRecorder::recordResponse(const UpstreamAttempt &Attempt,
                                     const ResponseMetadata &Metadata,
                                     const http::Response &Response,
                                     common::MonotonicTime Now) {
  forwarding::ReplicaRecord &Replica = *Attempt.Replica;
  this->TrafficByDomain.recordReceived(this->isInOwnDomain(Attempt),
                                       Response.Body.size());
  if (Metadata.Load)
    Replica.onLoadReported(Now, *Metadata.Load);
  if (Metadata.IsFromOtherSearcher) {
    Replica.onUnreachable(Now);
    return;
  }
  Replica.coldStart().onAnswered(Now);
  if (Metadata.IsNotRun) {
    Replica.onBusy(Now);
    return;
  }
  const bool IsSuccess = !Metadata.Stamp.empty() &&
                         !Metadata.HasContentCoding && Response.Status < 500;
  if (!IsSuccess) {
    Replica.onFailed(Now);
    return;
  }
  const auto Latency = Now - Attempt.StartedAt;
  Replica.onAnswered(Now, Latency, typicalLatency(Attempt));
  Attempt.Statistics->add(Latency);
}

void AttemptRecorder::recordOverdue(const UpstreamAttempt &Attempt,
                                    common::MonotonicTime Now) {
  const auto Age = Now - Attempt.StartedAt;
  const auto Typical = typicalLatency(Attempt);
  if (Age < OverdueFactor * Typical)
    return;
  Attempt.Replica->onAnswered(Now, Age, Typical);
  Attempt.Replica->onFailed(Now);
}

const DomainTraffic &AttemptRecorder::domainTraffic() const {
  return this->TrafficByDomain;
}

bool AttemptRecorder::isInOwnDomain(const UpstreamAttempt &Attempt) const {
  return Attempt.Replica->entry().FailureDomain == this->FailureDomain;
}

} // namespace acaciacross::gateway
