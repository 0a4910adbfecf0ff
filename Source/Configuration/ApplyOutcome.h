#ifndef ACACIACROSS_CONFIGURATION_APPLYOUTCOME_H
#define ACACIACROSS_CONFIGURATION_APPLYOUTCOME_H

namespace acaciacross::configuration {

/// Result of applying a configuration change.
enum class ApplyOutcome {
  /// The change is in effect.
  Accepted,
  /// The same or a higher revision is already in effect.
  Stale,
  /// The text is not a valid document for its key; the previous revision stays
  /// in effect.
  Invalid,
};

} // namespace acaciacross::configuration

#endif
