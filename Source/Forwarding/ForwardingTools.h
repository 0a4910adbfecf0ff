#ifndef ACACIACROSS_FORWARDING_FORWARDINGTOOLS_H
#define ACACIACROSS_FORWARDING_FORWARDINGTOOLS_H

#include "Common/Clock.h"
#include "Forwarding/AttemptPort.h"
#include "Forwarding/HedgeRule.h"
#include "Forwarding/PartialAnswerRule.h"
#include "Forwarding/ReplicaChoice.h"
#include "Forwarding/ServiceBook.h"

namespace acaciacross::forwarding {

/// What executions work with; all of it outlives them.
struct ForwardingTools {
  const common::Clock &Time;
  ServiceBook &Services;
  AttemptPort &Port;
  ReplicaChoice &Choice;
  const HedgeRule &Hedges;
  const PartialAnswerRule &Partials;
};

} // namespace acaciacross::forwarding

#endif
