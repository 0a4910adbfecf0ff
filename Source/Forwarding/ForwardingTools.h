#ifndef ACACIACROSS_FORWARDING_FORWARDINGTOOLS_H
#define ACACIACROSS_FORWARDING_FORWARDINGTOOLS_H

#include "Common/Clock.h"
#include "Forwarding/AttemptPort.h"
#include "Forwarding/HedgePolicy.h"
#include "Forwarding/PartialAnswerPolicy.h"
#include "Forwarding/ReplicaSelector.h"
#include "Forwarding/ServiceBook.h"

namespace acaciacross::forwarding {

/// Shared dependencies of executions. All of them outlive the executions.
struct ForwardingTools {
  const common::Clock &Time;
  ServiceBook &Services;
  AttemptPort &Port;
  ReplicaSelector &Choice;
  const HedgePolicy &Hedges;
  const PartialAnswerPolicy &Partials;
};

} // namespace acaciacross::forwarding

#endif
