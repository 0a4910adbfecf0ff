#ifndef ACACIACROSS_FORWARDING_SUBREQUEST_H
#define ACACIACROSS_FORWARDING_SUBREQUEST_H

#include "Forwarding/AttemptSummary.h"
#include "Forwarding/ForwardingDependencies.h"
#include "Forwarding/SubRequestState.h"

#include <memory>
#include <optional>
#include <span>
#include <vector>

namespace acaciacross::forwarding {

/// Part of a request that is sent to one service: a first attempt, a hedge, and
/// retries after rejections and losses. Stays within the limits of the route
/// and the retry budget of the service.
class SubRequest {
public:
  SubRequest(const ForwardingDependencies &Dependencies,
             std::shared_ptr<const ForwardRequest> Request,
             common::ServiceName Service, bool RequiresSuccess,
             AttemptListener &Listener);

  void start();
  /// Whether the attempt is an open one of this sub-request.
  bool owns(AttemptNumber Attempt) const;
  void onEnded(AttemptNumber Attempt, AttemptResult Result);
  void onConnectionAvailable();
  /// Starts the hedge if it is due, and an attempt that waited for the end of
  /// a searcher's pause. Gives up waiting when no attempt can be answered
  /// before the deadline any more.
  void tick();
  /// Next time at which tick must be called; empty when there is none.
  std::optional<common::MonotonicTime> nextDue() const;
  void abandon(AbandonMode Mode);

  const common::ServiceName &service() const;
  SubRequestState state() const;
  /// Whether the sub-request is open without an attempt at a searcher.
  bool isWaiting() const;
  /// Whether an attempt is under way that is not due for a hedge.
  bool isAnswerExpected() const;
  /// The usable response, or the last unusable one.
  const std::optional<AttemptResult> &result() const;
  /// Whether a searcher may have run the request.
  bool mayHaveRun() const;
  /// Whether the sub-request ended because its wait for a connection left too
  /// little time.
  bool hasGivenUp() const;
  const std::vector<AttemptSummary> &endedAttempts() const;

private:
  struct OpenAttempt {
    AttemptNumber Number;
    std::shared_ptr<ReplicaRecord> Replica;
    common::MonotonicTime SentAt;
  };

  bool isUsable(const AttemptResult &Result) const;
  /// Starts the next attempt if the limits allow it. Otherwise waits for a
  /// connection or becomes exhausted.
  void sendNext();
  /// The searchers that the request may be sent to.
  std::span<const std::shared_ptr<ReplicaRecord>> replicas() const;
  std::shared_ptr<ReplicaRecord> chooseReplica() const;
  void startHedge(common::MonotonicTime Now);
  /// End of the first pause after which an attempt can still be answered within
  /// the latency target; empty when there is none.
  std::optional<common::MonotonicTime> nextPauseEnd() const;
  bool wasTried(const ReplicaRecord &Replica) const;
  /// Whether a reachable searcher that was not tried yet only lacks a free
  /// connection.
  bool canWaitForConnection() const;
  void awaitConnection();
  /// Whether an attempt that waits can't be answered before the deadline.
  bool isTooLate() const;
  void giveUp();
  void startAttempt(const std::shared_ptr<ReplicaRecord> &Replica);
  void recordAttempt(const OpenAttempt &Attempt, AttemptEnd End, int Status,
                     bool IsAbandoned);

  const ForwardingDependencies &Dependencies;
  std::shared_ptr<const ForwardRequest> Request;
  common::ServiceName Service;
  bool RequiresSuccess;
  AttemptListener &Listener;
  std::shared_ptr<RouteStatistics> Statistics;

  SubRequestState State = SubRequestState::Open;
  std::vector<OpenAttempt> OpenAttempts;
  std::vector<const ReplicaRecord *> Tried;
  /// Number of attempts that were sent, whether they ran or not.
  unsigned SentCount = 0;
  bool MayHaveRun = false;
  bool IsHedged = false;
  std::optional<common::MonotonicTime> HedgeAt;
  /// Set while all searchers that could be asked have requested a pause.
  std::optional<common::MonotonicTime> ResumeAt;
  /// The latest time at which an attempt that waits for a connection can start
  /// and still be answered before the deadline.
  std::optional<common::MonotonicTime> GiveUpAt;
  bool GaveUp = false;
  std::optional<AttemptResult> Result;
  std::vector<AttemptSummary> EndedAttempts;
};

} // namespace acaciacross::forwarding

#endif
