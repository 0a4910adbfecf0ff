#ifndef ACACIACROSS_FORWARDING_ADMISSIONCHAIN_H
#define ACACIACROSS_FORWARDING_ADMISSIONCHAIN_H

#include "Forwarding/AdmissionRule.h"

#include <vector>

namespace acaciacross::forwarding {

/// Applies several rules in order and returns the first refusal.
class AdmissionChain final : public AdmissionRule {
public:
  /// The rules must outlive the chain.
  explicit AdmissionChain(std::vector<const AdmissionRule *> Rules);

  std::optional<Refusal> check(const ForwardRequest &Request,
                               std::span<const common::ServiceName> Services,
                               const ServiceBook &Book,
                               common::MonotonicTime Now) const override;

private:
  std::vector<const AdmissionRule *> Rules;
};

} // namespace acaciacross::forwarding

#endif
