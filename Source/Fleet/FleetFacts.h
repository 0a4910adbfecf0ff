#ifndef ACACIACROSS_FLEET_FLEETFACTS_H
#define ACACIACROSS_FLEET_FLEETFACTS_H

#include <chrono>
#include <cstdint>

namespace acaciacross::fleet {

/// What this VM tells its peers of the store and of its load. On the control
/// thread.
class FleetFacts {
public:
  virtual ~FleetFacts() = default;

  /// Everything up to this revision is known here.
  virtual std::uint64_t knownRevision() const = 0;
  /// How long ago the store answered anyone that this VM knows of.
  virtual std::chrono::milliseconds answerAge() const = 0;
  /// Share of the recent past in which requests kept this VM busy, in
  /// thousandths.
  virtual unsigned busyPerMille() const = 0;
};

} // namespace acaciacross::fleet

#endif
