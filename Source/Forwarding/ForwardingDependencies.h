#ifndef ACACIACROSS_FORWARDING_FORWARDINGDEPENDENCIES_H
#define ACACIACROSS_FORWARDING_FORWARDINGDEPENDENCIES_H

#include "Common/Clock.h"
#include "Forwarding/AttemptSender.h"
#include "Forwarding/HedgePolicy.h"
#include "Forwarding/PartialAnswerPolicy.h"
#include "Forwarding/ReplicaSelector.h"
#include "Forwarding/ServiceRegistry.h"

namespace acaciacross::forwarding {

/// Shared dependencies of executions. All of them outlive the executions.
struct ForwardingDependencies {
  const common::Clock &Time;
  ServiceRegistry &Services;
  AttemptSender &Sender;
  ReplicaSelector &Selector;
  const HedgePolicy &Hedges;
  const PartialAnswerPolicy &PartialAnswers;
};

} // namespace acaciacross::forwarding

#endif
