#ifndef ACACIACROSS_FORWARDING_ADMISSIONPOLICY_H
#define ACACIACROSS_FORWARDING_ADMISSIONPOLICY_H

#include "Forwarding/ForwardRequest.h"
#include "Forwarding/Refusal.h"
#include "Forwarding/ServiceRegistry.h"

#include <optional>
#include <span>

namespace acaciacross::forwarding {

/// Decides before anything is sent whether a request is rejected.
class AdmissionPolicy {
public:
  virtual ~AdmissionPolicy() = default;

  /// Returns the refusal, or empty when the request is admitted. Services: the
  /// services that the request would be sent to, one per shard for a query over
  /// shards.
  virtual std::optional<Refusal>
  check(const ForwardRequest &Request,
        std::span<const common::ServiceName> Services,
        const ServiceRegistry &Registry, common::MonotonicTime Now) const = 0;
};

} // namespace acaciacross::forwarding

#endif
