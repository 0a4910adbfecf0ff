#ifndef ACACIACROSS_FORWARDING_LOADADMISSION_H
#define ACACIACROSS_FORWARDING_LOADADMISSION_H

#include "Forwarding/AdmissionRule.h"
#include "Forwarding/AttemptPort.h"

namespace acaciacross::forwarding {

/// Rejects requests that would wait in the queues of searchers until their
/// target has passed. Answers the load of bursts and of searchers that are slow
/// in many shards at once: those that are taken are served in time, where all
/// would be late otherwise.
class LoadAdmission final : public AdmissionRule {
public:
  /// The port must outlive this.
  explicit LoadAdmission(const AttemptPort &Sender);

  std::optional<Refusal> check(const ForwardRequest &Request,
                               std::span<const common::ServiceName> Services,
                               const ServiceBook &Book,
                               common::MonotonicTime Now) const override;

private:
  const AttemptPort &Port;
};

} // namespace acaciacross::forwarding

#endif
