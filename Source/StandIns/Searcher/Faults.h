#ifndef ACACIACROSS_STANDINS_SEARCHER_FAULTS_H
#define ACACIACROSS_STANDINS_SEARCHER_FAULTS_H

#include <cstdint>

namespace acaciacross::standins {

/// Faults that tests switch on; see the table in the README.
struct Faults {
  double SlowFactor = 1.0;
  bool Shed = false;
  bool Reset = false;
  bool Hang = false;
  bool Drain = false;
  bool DrainShed = false;
  bool WrongSnapshot = false;
  bool WrongRange = false;
  bool WrongAttempt = false;
  /// -1: the load page tells the truth.
  std::int64_t LieBusy = -1;
  std::int64_t LieQueued = -1;
};

} // namespace acaciacross::standins

#endif
