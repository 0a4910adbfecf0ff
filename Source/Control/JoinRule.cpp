#include "Control/JoinRule.h"

namespace acaciacross::control {

JoinRule::JoinRule(common::MonotonicTime StartedAt) : Start(StartedAt) {}

void JoinRule::recordPeerAnswer() { this->HasPeerAnswered = true; }

bool JoinRule::canServe(bool HasDocuments, common::MonotonicTime Now) const {
  return HasDocuments &&
         (this->HasPeerAnswered || Now - this->Start >= JoinTime);
}

} // namespace acaciacross::control
