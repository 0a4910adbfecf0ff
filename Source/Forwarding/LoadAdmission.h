#ifndef ACACIACROSS_FORWARDING_LOADADMISSION_H
#define ACACIACROSS_FORWARDING_LOADADMISSION_H

#include "Forwarding/AdmissionRule.h"
#include "Forwarding/AttemptPort.h"

namespace acaciacross::forwarding {

/// Rejects requests that are expected to wait in the queues of searchers beyond
/// their latency target. During bursts, or when searchers are slow in many
/// shards at once, the admitted requests are answered in time. Without
/// rejections all of them would be late.
class LoadAdmission final : public AdmissionRule {
public:
  /// The port must outlive the rule.
  explicit LoadAdmission(const AttemptPort &Port);

  std::optional<Refusal> check(const ForwardRequest &Request,
                               std::span<const common::ServiceName> Services,
                               const ServiceBook &Book,
                               common::MonotonicTime Now) const override;

private:
  const AttemptPort &Port;
};

} // namespace acaciacross::forwarding

#endif
