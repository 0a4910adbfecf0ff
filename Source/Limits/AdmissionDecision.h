#ifndef ACACIACROSS_LIMITS_ADMISSIONDECISION_H
#define ACACIACROSS_LIMITS_ADMISSIONDECISION_H

namespace acaciacross::limits {

/// Result of offering a request to the admission queue.
enum class AdmissionDecision {
  /// The request runs now.
  Admitted,
  /// The request waits until takeReady or takeExpired returns it.
  Queued,
  /// Not run: the queue is full or the expected wait is too long.
  RefusedOverloaded,
  /// Not run: the deadline would pass before an answer.
  RefusedDeadline,
};

} // namespace acaciacross::limits

#endif
