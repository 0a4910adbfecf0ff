#ifndef ACACIACROSS_FORWARDING_REACHABILITYADMISSION_H
#define ACACIACROSS_FORWARDING_REACHABILITYADMISSION_H

#include "Forwarding/AdmissionRule.h"

namespace acaciacross::forwarding {

/// Rejects requests for which too few services have a searcher that could
/// answer. Answers the load of services whose searchers are all lost.
class ReachabilityAdmission final : public AdmissionRule {
public:
  std::optional<Refusal> check(const ForwardRequest &Request,
                               std::span<const common::ServiceName> Services,
                               const ServiceBook &Book,
                               common::MonotonicTime Now) const override;
};

} // namespace acaciacross::forwarding

#endif
