#ifndef ACACIACROSS_FORWARDING_PARTIALANSWERRULE_H
#define ACACIACROSS_FORWARDING_PARTIALANSWERRULE_H

#include "Common/Time.h"
#include "Forwarding/ForwardRequest.h"

namespace acaciacross::forwarding {

/// Says when a query over shards is answered with the shards that are in.
class PartialAnswerRule {
public:
  virtual ~PartialAnswerRule() = default;

  /// From this time on the least coverage is enough for an answer.
  virtual common::MonotonicTime
  settleAt(const ForwardRequest &Request) const = 0;
};

} // namespace acaciacross::forwarding

#endif
