#ifndef ACACIACROSS_CONFIGURATION_APPLYOUTCOME_H
#define ACACIACROSS_CONFIGURATION_APPLYOUTCOME_H

namespace acaciacross::configuration {

/// What became of a change.
enum class ApplyOutcome {
  /// In effect now.
  Accepted,
  /// A revision at least as high is in effect.
  Stale,
  /// Not a valid document of its key; what was in effect stays so.
  Invalid,
};

} // namespace acaciacross::configuration

#endif
