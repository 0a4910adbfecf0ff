#ifndef ACACIACROSS_FORWARDING_LATENCYTARGETPARTIALANSWERPOLICY_H
#define ACACIACROSS_FORWARDING_LATENCYTARGETPARTIALANSWERPOLICY_H

#include "Forwarding/PartialAnswerPolicy.h"

namespace acaciacross::forwarding {

/// Waits for missing shards as long as the answer can still reach the caller
/// within the latency target. Mitigates shards that are slow or lost as a
/// whole.
class LatencyTargetPartialAnswerPolicy final : public PartialAnswerPolicy {
public:
  common::MonotonicTime
  partialAllowedFrom(const ForwardRequest &Request) const override;
};

} // namespace acaciacross::forwarding

#endif
