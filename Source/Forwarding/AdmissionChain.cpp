#include "Forwarding/AdmissionChain.h"

#include <utility>

namespace acaciacross::forwarding {

AdmissionChain::AdmissionChain(std::vector<const AdmissionRule *> Parts)
    : Rules(std::move(Parts)) {}

std::optional<Refusal>
AdmissionChain::check(const ForwardRequest &Request,
                      std::span<const common::ServiceName> Services,
                      const ServiceBook &Book,
                      common::MonotonicTime Now) const {
  for (const AdmissionRule *Each : this->Rules)
    if (auto Refused = Each->check(Request, Services, Book, Now))
      return Refused;
  return std::nullopt;
}

} // namespace acaciacross::forwarding
