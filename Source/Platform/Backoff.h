#ifndef ACACIACROSS_PLATFORM_BACKOFF_H
#define ACACIACROSS_PLATFORM_BACKOFF_H

#include "Common/RandomSource.h"

#include <chrono>
#include <cstdint>

namespace acaciacross::platform {

/// Waiting times after failures in a row: doubling up to a bound, each drawn at
/// random from its upper half, so that VMs that failed together do not call
/// together again.
class Backoff {
public:
  Backoff(std::chrono::milliseconds FirstWait,
          std::chrono::milliseconds LongestWait);

  /// Takes a failure and gives the time to wait.
  std::chrono::milliseconds next(common::RandomSource &Random);

  void reset();
  bool isFirst() const;

private:
  std::chrono::milliseconds First;
  std::chrono::milliseconds Longest;
  std::uint32_t Failures = 0;
};

} // namespace acaciacross::platform

#endif
