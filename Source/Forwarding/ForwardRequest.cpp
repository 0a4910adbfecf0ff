#include "Forwarding/ForwardRequest.h"

#include <algorithm>

namespace acaciacross::forwarding {

common::MonotonicTime
ForwardRequest::latestStart(std::chrono::nanoseconds Typical) const {
  return std::min(this->ArrivedAt + this->Target->LatencyTarget,
                  this->Deadline) -
         std::chrono::duration_cast<common::MonotonicTime::duration>(Typical);
}

} // namespace acaciacross::forwarding
