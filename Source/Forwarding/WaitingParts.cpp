#include "Forwarding/WaitingParts.h"

namespace acaciacross::forwarding {

bool WaitingParts::areNeeded(common::MonotonicTime Now) const {
  return this->AnsweredCount + this->ExpectedCount < this->MinCount ||
         Now + this->ShortestLatency <= this->PartialAllowedFrom;
}

} // namespace acaciacross::forwarding
