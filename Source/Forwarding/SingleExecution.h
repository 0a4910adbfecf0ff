#ifndef ACACIACROSS_FORWARDING_SINGLEEXECUTION_H
#define ACACIACROSS_FORWARDING_SINGLEEXECUTION_H

#include "Forwarding/Execution.h"

namespace acaciacross::forwarding {

/// Forwards a request to one searcher of a service and gives back its answer
/// unchanged.
class SingleExecution final : public Execution {
public:
  SingleExecution(const ForwardingTools &Shared,
                  std::shared_ptr<const ForwardRequest> Whole,
                  const common::ServiceName &Service, AnswerSink &Receiver);

private:
  std::optional<Answer> decide(bool IsLast) override;
  std::optional<common::MonotonicTime> decideAt() const override;
};

} // namespace acaciacross::forwarding

#endif
