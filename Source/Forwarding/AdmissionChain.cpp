#include "Forwarding/AdmissionChain.h"

#include <utility>

namespace acaciacross::forwarding {

AdmissionChain::AdmissionChain(std::vector<const AdmissionPolicy *> Policies)
    : Policies(std::move(Policies)) {}

std::optional<Refusal>
AdmissionChain::check(const ForwardRequest &Request,
                      std::span<const common::ServiceName> Services,
                      const ServiceRegistry &Registry,
                      common::MonotonicTime Now) const {
  for (const AdmissionPolicy *Policy : this->Policies)
    if (auto Refused = Policy->check(Request, Services, Registry, Now))
      return Refused;
  return std::nullopt;
}

} // namespace acaciacross::forwarding
