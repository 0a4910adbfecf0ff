#ifndef ACACIACROSS_FORWARDING_EXECUTION_H
#define ACACIACROSS_FORWARDING_EXECUTION_H

#include "Forwarding/AnswerSink.h"
#include "Forwarding/ForwardingDependencies.h"
#include "Forwarding/SubRequest.h"

#include <chrono>
#include <deque>
#include <memory>
#include <optional>
#include <vector>

namespace acaciacross::forwarding {

/// Runs one request until it has an answer. The owner calls start, and then
/// tick whenever nextDue has passed; the sender reports the results of
/// attempts.
class Execution : public AttemptListener {
public:
  ~Execution() override;
  Execution(const Execution &) = delete;
  Execution &operator=(const Execution &) = delete;

  void start();
  void tick();
  /// Next time at which tick must be called; empty once the execution has
  /// ended.
  std::optional<common::MonotonicTime> nextDue() const;
  /// Ends the request by Time at the latest: its answer is then decided as at
  /// its deadline. This changes nextDue.
  void endBy(common::MonotonicTime Time);
  /// Stops the attempts because the caller has disconnected. No answer is
  /// delivered.
  void cancel();

  void onAttemptEnded(AttemptNumber Attempt, AttemptResult Result) override;
  void onConnectionAvailable(const common::ServiceName &Service) override;

protected:
  Execution(const ForwardingDependencies &Dependencies,
            std::shared_ptr<const ForwardRequest> Request, AnswerSink &Sink);

  void addSubRequest(const common::ServiceName &Service, bool RequiresSuccess);
  const std::deque<SubRequest> &subRequests() const;
  const ForwardRequest &request() const;
  common::MonotonicTime now() const;
  bool mayHaveRun() const;

  /// Returns the answer as soon as it is decided. IsDeadlinePassed: the time
  /// limit of the request, or the time set by endBy, is reached.
  virtual std::optional<Answer> decide(bool IsDeadlinePassed) = 0;
  /// An additional time at which decide must be called; empty when there is
  /// none.
  virtual std::optional<common::MonotonicTime> nextDecisionAt() const = 0;
  /// Whether parts that wait for a connection are still to be sent. Those that
  /// were not sent are sent once this is true again.
  virtual bool areWaitingPartsNeeded() const;
  /// The answer for a request without a usable response.
  Answer failure(bool IsDeadlinePassed) const;

private:
  /// Time until the searchers of the request may be asked again.
  std::chrono::milliseconds untilUsable() const;
  /// The deadline of the request, or an earlier time that endBy has set.
  common::MonotonicTime endsAt() const;
  /// Sends the parts to the service that wait.
  void resume(const common::ServiceName &Service);
  void resumeWithheld();
  void evaluate();
  void finish(Answer Result);

  const ForwardingDependencies &Dependencies;
  std::shared_ptr<const ForwardRequest> Request;
  AnswerSink &Sink;
  std::deque<SubRequest> SubRequests;
  /// The services of parts that were not needed when a connection was free.
  std::vector<common::ServiceName> Withheld;
  common::MonotonicTime EndLimit = common::MonotonicTime::max();
  bool Finished = false;
};

} // namespace acaciacross::forwarding

#endif
