#include "Forwarding/AdmissionChain.h"

#include <utility>

namespace acaciacross::forwarding {

AdmissionChain::AdmissionChain(std::vector<const AdmissionRule *> Rules)
    : Rules(std::move(Rules)) {}

std::optional<Refusal>
AdmissionChain::check(const ForwardRequest &Request,
                      std::span<const common::ServiceName> Services,
                      const ServiceBook &Book,
                      common::MonotonicTime Now) const {
  for (const AdmissionRule *Rule : this->Rules)
    if (auto Refused = Rule->check(Request, Services, Book, Now))
      return Refused;
  return std::nullopt;
}

} // namespace acaciacross::forwarding
