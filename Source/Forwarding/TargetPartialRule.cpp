#include "Forwarding/TargetPartialRule.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::forwarding {

namespace {

using std::chrono::milliseconds;

// The caller's clock starts with its connection: four ways of a few
// milliseconds each, with their variance, lie outside of this VM.
constexpr milliseconds CallerPathAllowance{32};
// Of a very short target at least this part is used for waiting.
constexpr int LeastPart = 2;

// When it is known what the caller has lost before, two ways are left and the
// time in which this VM gets to its events.
constexpr milliseconds RequestPathAllowance{18};
// With less than this part of the target left hardly a shard would be in.
constexpr int LeastKnownPart = 4;

milliseconds usualWait(milliseconds Goal) {
  return std::max(Goal - CallerPathAllowance, Goal / LeastPart);
}

// Where the target is missed whatever is done, time is better spent on
// coverage.
milliseconds waitFor(const ForwardRequest &Request) {
  const milliseconds Goal = Request.Target->LatencyTarget;
  if (!Request.WaitedBefore)
    return usualWait(Goal);
  const milliseconds Left = Goal - RequestPathAllowance - *Request.WaitedBefore;
  return Left >= Goal / LeastKnownPart ? std::min(Left, usualWait(Goal))
                                       : usualWait(Goal);
}

} // namespace

common::MonotonicTime
TargetPartialRule::settleAt(const ForwardRequest &Request) const {
  return std::min(Request.ArrivedAt + waitFor(Request), Request.AnswerBy);
}

} // namespace acaciacross::forwarding
