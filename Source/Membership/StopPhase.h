#ifndef ACACIACROSS_MEMBERSHIP_STOPPHASE_H
#define ACACIACROSS_MEMBERSHIP_STOPPHASE_H

#include <cstdint>

namespace acaciacross::membership {

/// Steps of a planned stop, in order.
enum class StopPhase : std::uint8_t {
  Running,
  /// Reports "leaving" and still accepts new callers, because address answers
  /// that list this VM are still valid.
  Lingering,
  /// The caller port is closed; accepted requests are completed.
  Draining,
  Done,
};

} // namespace acaciacross::membership

#endif
