#ifndef ACACIACROSS_FORWARDING_ADMISSIONCHAIN_H
#define ACACIACROSS_FORWARDING_ADMISSIONCHAIN_H

#include "Forwarding/AdmissionPolicy.h"

#include <vector>

namespace acaciacross::forwarding {

/// Applies several rules in order and returns the first refusal.
class AdmissionChain final : public AdmissionPolicy {
public:
  /// The rules must outlive the chain.
  explicit AdmissionChain(std::vector<const AdmissionPolicy *> Policies);

  std::optional<Refusal> check(const ForwardRequest &Request,
                               std::span<const common::ServiceName> Services,
                               const ServiceRegistry &Registry,
                               common::MonotonicTime Now) const override;

private:
  std::vector<const AdmissionPolicy *> Policies;
};

} // namespace acaciacross::forwarding

#endif
