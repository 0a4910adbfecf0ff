#ifndef ACACIACROSS_BENCHMARKS_ANSWERRECORD_H
#define ACACIACROSS_BENCHMARKS_ANSWERRECORD_H

#include "Common/Identifiers.h"
#include "Common/Time.h"

namespace acaciacross::benchmarks {

/// Result of one simulated request.
struct AnswerRecord {
  common::RequestId Request;
  common::ClassName Class;
  common::MonotonicTime Arrived;
  /// From arrival to answer, including the time in the admission queue.
  std::chrono::nanoseconds Latency{0};
  /// Coverage of the answer; 0 for refusals and failures.
  double Coverage = 0.0;
  bool IsRefused = false;
};

} // namespace acaciacross::benchmarks

#endif
