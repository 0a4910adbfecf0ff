#include "Forwarding/TargetPartialRule.h"

#include <algorithm>
#include <chrono>

namespace acaciacross::forwarding {

namespace {

// The caller's clock starts with its connection: four ways of a few
// milliseconds each, with their variance, lie outside of this VM.
constexpr std::chrono::milliseconds CallerPathAllowance{32};
// Of a very short target at least this part is used for waiting.
constexpr int LeastPart = 2;

} // namespace

common::MonotonicTime
TargetPartialRule::settleAt(const ForwardRequest &Request) const {
  const std::chrono::milliseconds Goal = Request.Target->LatencyTarget;
  const auto Wait = std::max(Goal - CallerPathAllowance, Goal / LeastPart);
  return std::min(Request.ArrivedAt + Wait, Request.AnswerBy);
}

} // namespace acaciacross::forwarding
