#include "Control/JoinPolicy.h"

namespace acaciacross::control {

JoinPolicy::JoinPolicy(common::MonotonicTime StartedAt) : Start(StartedAt) {}

void JoinPolicy::recordPeerAnswer() { this->HasPeerAnswered = true; }

bool JoinPolicy::canServe(bool HasDocuments, common::MonotonicTime Now) const {
  return HasDocuments &&
         (this->HasPeerAnswered || Now - this->Start >= JoinTime);
}

} // namespace acaciacross::control
