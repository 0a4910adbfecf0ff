#ifndef ACACIACROSS_FORWARDING_ADMISSIONRULE_H
#define ACACIACROSS_FORWARDING_ADMISSIONRULE_H

#include "Forwarding/ForwardRequest.h"
#include "Forwarding/Refusal.h"
#include "Forwarding/ServiceBook.h"

#include <optional>
#include <span>

namespace acaciacross::forwarding {

/// Rejects at once what cannot be served.
class AdmissionRule {
public:
  virtual ~AdmissionRule() = default;

  /// Services: where the request would go, one for each shard of a query.
  virtual std::optional<Refusal>
  check(const ForwardRequest &Request,
        std::span<const common::ServiceName> Services, const ServiceBook &Book,
        common::MonotonicTime Now) const = 0;
};

} // namespace acaciacross::forwarding

#endif
