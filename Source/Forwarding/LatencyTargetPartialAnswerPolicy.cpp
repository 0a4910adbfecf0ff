#include "Forwarding/LatencyTargetPartialAnswerPolicy.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::forwarding {

namespace {

using std::chrono::milliseconds;

// The caller measures from the start of its connection set-up. Four one-way
// network delays of a few milliseconds each, and their variance, are outside of
// this VM.
constexpr milliseconds CallerPathAllowance{32};
// For a very short target, at least the target divided by this is used for
// waiting.
constexpr int MinWaitDivisor = 2;

// When the time that the caller had waited is known, two one-way network delays
// remain, and the time until this VM handles its events.
constexpr milliseconds RequestPathAllowance{18};
// If less than the target divided by this remains, hardly any shard could
// answer in time.
constexpr int MinRemainingDivisor = 4;

milliseconds defaultWait(milliseconds TargetTime) {
  return std::max(TargetTime - CallerPathAllowance,
                  TargetTime / MinWaitDivisor);
}

// If the target is missed anyway, waiting longer for more coverage is better.
milliseconds waitForShards(const ForwardRequest &Request) {
  const milliseconds TargetTime = Request.Target->LatencyTarget;
  if (!Request.WaitedBefore)
    return defaultWait(TargetTime);
  const milliseconds Remaining =
      TargetTime - RequestPathAllowance - *Request.WaitedBefore;
  return Remaining >= TargetTime / MinRemainingDivisor
             ? std::min(Remaining, defaultWait(TargetTime))
             : defaultWait(TargetTime);
}

} // namespace

common::MonotonicTime LatencyTargetPartialAnswerPolicy::partialAllowedFrom(
    const ForwardRequest &Request) const {
  return std::min(Request.ArrivedAt + waitForShards(Request), Request.Deadline);
}

} // namespace acaciacross::forwarding
