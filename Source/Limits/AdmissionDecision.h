#ifndef ACACIACROSS_LIMITS_ADMISSIONDECISION_H
#define ACACIACROSS_LIMITS_ADMISSIONDECISION_H

namespace acaciacross::limits {

/// What becomes of an offered request.
enum class AdmissionDecision {
  /// Runs now.
  Admitted,
  /// Comes back from takeReady or takeExpired.
  Queued,
  /// Not run: too many requests wait.
  RefusedOverloaded,
  /// Not run: the deadline would pass before an answer.
  RefusedDeadline,
};

} // namespace acaciacross::limits

#endif
