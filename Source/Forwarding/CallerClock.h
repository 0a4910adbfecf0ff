#ifndef ACACIACROSS_FORWARDING_CALLERCLOCK_H
#define ACACIACROSS_FORWARDING_CALLERCLOCK_H

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace acaciacross::forwarding {

/// Estimates how long callers of one route had waited when they sent, from how
/// long they still wait. Callers of a route have about the same patience, and
/// those on an open connection send at once, so the longest recent time is that
/// of a caller that has lost nothing yet.
class CallerClock {
public:
  /// Takes how long a caller waits from its sending on; gives how long it has
  /// waited before, empty until enough is known.
  std::optional<std::chrono::milliseconds>
  note(std::chrono::milliseconds Waits);

private:
  // Old values go soon, in case callers become less patient.
  static constexpr std::size_t Kept = 64;

  std::array<std::chrono::milliseconds, Kept> Recent{};
  std::size_t Count = 0;
};

} // namespace acaciacross::forwarding

#endif
