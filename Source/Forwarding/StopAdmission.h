#ifndef ACACIACROSS_FORWARDING_STOPADMISSION_H
#define ACACIACROSS_FORWARDING_STOPADMISSION_H

#include "Forwarding/AdmissionPolicy.h"

namespace acaciacross::forwarding {

/// Rejects requests that a stopping VM may not be able to finish. Callers keep
/// an address answer for some time, so they connect to this VM during its whole
/// stop. Another VM can take a rejected request at once.
class StopAdmission final : public AdmissionPolicy {
public:
  /// Starts the stop. AdmitAllUntil: until then nothing is rejected. AnswerBy:
  /// later, only requests with a deadline up to this time are admitted.
  void begin(common::MonotonicTime AdmitAllUntil,
             common::MonotonicTime AnswerBy);

  std::optional<Refusal> check(const ForwardRequest &Request,
                               std::span<const common::ServiceName> Services,
                               const ServiceRegistry &Registry,
                               common::MonotonicTime Now) const override;

private:
  common::MonotonicTime AdmitAllUntil = common::MonotonicTime::max();
  common::MonotonicTime AnswerBy = common::MonotonicTime::max();
};

} // namespace acaciacross::forwarding

#endif
