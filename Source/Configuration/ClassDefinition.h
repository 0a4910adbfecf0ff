#ifndef ACACIACROSS_CONFIGURATION_CLASSDEFINITION_H
#define ACACIACROSS_CONFIGURATION_CLASSDEFINITION_H

#include "Common/Identifiers.h"

#include <chrono>

namespace acaciacross::configuration {

/// A class of requests with the targets that operators set for it.
struct ClassDefinition {
  common::ClassName Name;
  common::ServiceName Service;

  /// Upper bound on the latency of TargetPercentile percent of the answers.
  std::chrono::milliseconds LatencyTarget{0};
  /// In percent, between 50 and 99.9.
  double TargetPercentile = 99.0;

  /// Fraction of the documents that an answer should cover, in (0, 1].
  double CoverageTarget = 1.0;

  /// Extra attempts per first attempt, in [0, 1].
  double ExtraLoadTarget = 0.0;

  /// Whether a request may be executed more than once.
  bool Repeatable = true;
};

} // namespace acaciacross::configuration

#endif
