#include "Control/JoinRule.h"

namespace acaciacross::control {

JoinRule::JoinRule(common::MonotonicTime StartedAt) : Start(StartedAt) {}

void JoinRule::notePeerAnswer() { this->PeerAnswered = true; }

bool JoinRule::mayServe(bool HasDocuments, common::MonotonicTime Now) const {
  return HasDocuments && (this->PeerAnswered || Now - this->Start >= JoinTime);
}

} // namespace acaciacross::control
