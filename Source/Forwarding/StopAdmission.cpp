#include "Forwarding/StopAdmission.h"

namespace acaciacross::forwarding {

void StopAdmission::begin(common::MonotonicTime AdmitAllUntil,
                          common::MonotonicTime AnswerBy) {
  this->AdmitAllUntil = AdmitAllUntil;
  this->AnswerBy = AnswerBy;
}

// How long a searcher will take is not known, so the deadline decides: at that
// time at the latest, the request has its answer. Early in the stop, requests
// with a distant deadline are admitted all the same, because nearly all of them
// take a small part of it.
std::optional<Refusal>
StopAdmission::check(const ForwardRequest &Request,
                     std::span<const common::ServiceName> /*Services*/,
                     const ServiceRegistry & /*Registry*/,
                     common::MonotonicTime Now) const {
  if (Now < this->AdmitAllUntil || Request.Deadline <= this->AnswerBy)
    return std::nullopt;
  return Refusal{common::ResultCode::NotServing, StoppingRetryDelay, {}, {}};
}

} // namespace acaciacross::forwarding
