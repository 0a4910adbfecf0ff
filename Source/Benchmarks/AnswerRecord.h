#ifndef ACACIACROSS_BENCHMARKS_ANSWERRECORD_H
#define ACACIACROSS_BENCHMARKS_ANSWERRECORD_H

#include "Common/Identifiers.h"
#include "Common/Time.h"

namespace acaciacross::benchmarks {

/// How a request of a benchmark ended.
struct AnswerRecord {
  common::RequestId Request;
  common::ClassName Class;
  common::MonotonicTime Arrived;
  /// From the arrival to the answer, with the wait for admission.
  std::chrono::nanoseconds Latency{0};
  /// 0 for refusals and failures.
  double Coverage = 0.0;
  bool IsRefused = false;
};

} // namespace acaciacross::benchmarks

#endif
