#ifndef ACACIACROSS_FORWARDING_REACHABILITYADMISSION_H
#define ACACIACROSS_FORWARDING_REACHABILITYADMISSION_H

#include "Forwarding/AdmissionPolicy.h"

namespace acaciacross::forwarding {

/// Rejects requests when too few of their services have a listed and reachable
/// searcher, for example when all searchers of a service are lost, or cold with
/// their allowances used up.
class ReachabilityAdmission final : public AdmissionPolicy {
public:
  std::optional<Refusal> check(const ForwardRequest &Request,
                               std::span<const common::ServiceName> Services,
                               const ServiceRegistry &Registry,
                               common::MonotonicTime Now) const override;
};

} // namespace acaciacross::forwarding

#endif
