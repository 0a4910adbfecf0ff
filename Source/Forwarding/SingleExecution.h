#ifndef ACACIACROSS_FORWARDING_SINGLEEXECUTION_H
#define ACACIACROSS_FORWARDING_SINGLEEXECUTION_H

#include "Forwarding/Execution.h"

namespace acaciacross::forwarding {

/// Forwards a request to one searcher of a service and returns the response
/// unchanged.
class SingleExecution final : public Execution {
public:
  SingleExecution(const ForwardingDependencies &Dependencies,
                  std::shared_ptr<const ForwardRequest> Request,
                  const common::ServiceName &Service, AnswerSink &Sink);

private:
  std::optional<Answer> decide(bool IsDeadlinePassed) override;
  std::optional<common::MonotonicTime> nextDecisionAt() const override;
};

} // namespace acaciacross::forwarding

#endif
