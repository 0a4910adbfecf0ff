#ifndef ACACIACROSS_FORWARDING_EXECUTION_H
#define ACACIACROSS_FORWARDING_EXECUTION_H

#include "Forwarding/AnswerSink.h"
#include "Forwarding/ForwardingTools.h"
#include "Forwarding/RequestLeg.h"

#include <deque>
#include <memory>
#include <optional>

namespace acaciacross::forwarding {

/// Brings one request to its answer. Driven by its owner: start, then tick when
/// it is due; the port reports attempts.
class Execution : public AttemptListener {
public:
  ~Execution() override;
  Execution(const Execution &) = delete;
  Execution &operator=(const Execution &) = delete;

  void start();
  void tick();
  /// When tick has something to do; empty once there is an answer.
  std::optional<common::MonotonicTime> nextDue() const;
  /// The caller has left: searchers stop, and there is no answer.
  void cancel();

  void onAttemptEnded(AttemptNumber Attempt, AttemptResult Result) override;
  void onRoom(const common::ServiceName &Service) override;

protected:
  Execution(const ForwardingTools &Shared,
            std::shared_ptr<const ForwardRequest> Whole, AnswerSink &Receiver);

  void addLeg(const common::ServiceName &Service, bool NeedsSuccess);
  const std::deque<RequestLeg> &legs() const;
  const ForwardRequest &request() const;
  common::MonotonicTime now() const;
  bool mayHaveRun() const;

  /// Gives the answer when there is one. IsLast: the time is up.
  virtual std::optional<Answer> decide(bool IsLast) = 0;
  /// An extra time at which decide is to be asked.
  virtual std::optional<common::MonotonicTime> decideAt() const = 0;
  /// The answer when nothing usable came.
  Answer failure(bool IsLast) const;

private:
  void evaluate();
  void finish(Answer Result);

  const ForwardingTools &Tools;
  std::shared_ptr<const ForwardRequest> Request;
  AnswerSink &Sink;
  std::deque<RequestLeg> Legs;
  bool Finished = false;
};

} // namespace acaciacross::forwarding

#endif
