#ifndef ACACIACROSS_FORWARDING_TARGETPARTIALRULE_H
#define ACACIACROSS_FORWARDING_TARGETPARTIALRULE_H

#include "Forwarding/PartialAnswerRule.h"

namespace acaciacross::forwarding {

/// Waits for missing shards for as long as the answer can still reach the
/// caller within the latency target. Answers the load of shards that are slow
/// or lost as a whole.
class TargetPartialRule final : public PartialAnswerRule {
public:
  common::MonotonicTime settleAt(const ForwardRequest &Request) const override;
};

} // namespace acaciacross::forwarding

#endif
