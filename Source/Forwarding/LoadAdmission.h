#ifndef ACACIACROSS_FORWARDING_LOADADMISSION_H
#define ACACIACROSS_FORWARDING_LOADADMISSION_H

#include "Forwarding/AdmissionPolicy.h"
#include "Forwarding/AttemptSender.h"

namespace acaciacross::forwarding {

/// Rejects requests that are expected to wait in the queues of searchers beyond
/// their latency target. During bursts, or when searchers are slow in many
/// shards at once, the admitted requests are answered in time. Without
/// rejections all of them would be late.
class LoadAdmission final : public AdmissionPolicy {
public:
  /// The sender must outlive the policy.
  explicit LoadAdmission(const AttemptSender &Sender);

  std::optional<Refusal> check(const ForwardRequest &Request,
                               std::span<const common::ServiceName> Services,
                               const ServiceRegistry &Registry,
                               common::MonotonicTime Now) const override;

private:
  const AttemptSender &Sender;
};

} // namespace acaciacross::forwarding

#endif
