#ifndef ACACIACROSS_FORWARDING_LOADADMISSION_H
#define ACACIACROSS_FORWARDING_LOADADMISSION_H

#include "Common/RandomSource.h"
#include "Forwarding/AdmissionPolicy.h"
#include "Forwarding/AttemptSender.h"
#include "Forwarding/DemandShares.h"
#include "Forwarding/ExpectedAnswer.h"

namespace acaciacross::forwarding {

/// Rejects requests that are expected to wait in the queues of searchers beyond
/// their latency target. During bursts, or when searchers are slow in many
/// shards at once, the admitted requests are answered in time. Without
/// rejections all of them would be late. When room is short, the less urgent
/// requests and callers that ask for more than their share are rejected first.
class LoadAdmission final : public AdmissionPolicy {
public:
  /// All must outlive the policy, which records its decisions in Demand.
  LoadAdmission(const AttemptSender &Sender, DemandShares &Demand,
                common::RandomSource &Random);

  std::optional<Refusal> check(const ForwardRequest &Request,
                               std::span<const common::ServiceName> Services,
                               const ServiceRegistry &Registry,
                               common::MonotonicTime Now) const override;

private:
  ExpectedAnswer expect(const Route &Target,
                        std::span<const common::ServiceName> Services,
                        const ServiceRegistry &Registry,
                        common::MonotonicTime Now) const;
  /// A refusal with a time of return that differs between callers.
  Refusal refuse(const ExpectedAnswer &Expected) const;

  const AttemptSender &Sender;
  DemandShares &Demand;
  common::RandomSource &Random;
};

} // namespace acaciacross::forwarding

#endif
