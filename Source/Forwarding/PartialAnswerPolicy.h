#ifndef ACACIACROSS_FORWARDING_PARTIALANSWERPOLICY_H
#define ACACIACROSS_FORWARDING_PARTIALANSWERPOLICY_H

#include "Common/Time.h"
#include "Forwarding/ForwardRequest.h"

namespace acaciacross::forwarding {

/// Decides when a query over shards may be answered with only a part of them.
class PartialAnswerPolicy {
public:
  virtual ~PartialAnswerPolicy() = default;

  /// Time from which the minimum coverage is enough for an answer.
  virtual common::MonotonicTime
  partialAllowedFrom(const ForwardRequest &Request) const = 0;
};

} // namespace acaciacross::forwarding

#endif
