#ifndef ACACIACROSS_FORWARDING_REQUESTLEG_H
#define ACACIACROSS_FORWARDING_REQUESTLEG_H

#include "Forwarding/AttemptNote.h"
#include "Forwarding/ForwardingTools.h"
#include "Forwarding/LegState.h"

#include <memory>
#include <optional>
#include <vector>

namespace acaciacross::forwarding {

/// The attempts of one request at one service: the first one, a hedge, and
/// repeats after rejections and losses, within the limits of the route and the
/// budget of the service.
class RequestLeg {
public:
  RequestLeg(const ForwardingTools &Shared,
             std::shared_ptr<const ForwardRequest> Whole,
             common::ServiceName Target, bool NeedsSuccess,
             AttemptListener &EndListener);

  void start();
  /// Whether the attempt is one of this leg and still open.
  bool owns(AttemptNumber Attempt) const;
  void onEnded(AttemptNumber Attempt, AttemptResult Result);
  void onRoom();
  /// Starts the hedge when it is due.
  void tick();
  /// When tick has something to do; empty when never.
  std::optional<common::MonotonicTime> nextDue() const;
  void abandon(AbandonMode Mode);

  const common::ServiceName &service() const;
  LegState state() const;
  /// The usable answer, or the last one that was not usable.
  const std::optional<AttemptResult> &result() const;
  /// Whether a searcher may have run the request.
  bool mayHaveRun() const;
  const std::vector<AttemptNote> &notes() const;

private:
  struct Pending {
    AttemptNumber Number;
    std::shared_ptr<ReplicaRecord> Replica;
    common::MonotonicTime SentAt;
  };

  bool isUsable(const AttemptResult &Result) const;
  /// Sends where the limits allow it; otherwise the leg may be exhausted.
  void sendNext();
  std::shared_ptr<ReplicaRecord> choose() const;
  /// Whether a searcher that was not tried is only short of connections.
  bool canWaitForRoom() const;
  void launch(const std::shared_ptr<ReplicaRecord> &Replica);
  void note(const Pending &Attempt, AttemptEnd End, int Status, bool Abandoned);

  const ForwardingTools &Tools;
  std::shared_ptr<const ForwardRequest> Request;
  common::ServiceName Service;
  bool OnlySuccess;
  AttemptListener &Listener;
  std::shared_ptr<RouteStatistics> Statistics;

  LegState State = LegState::Open;
  std::vector<Pending> Open;
  std::vector<const ReplicaRecord *> Tried;
  /// Attempts that were sent, whether they ran or not.
  unsigned Sent = 0;
  bool Ran = false;
  bool Hedged = false;
  std::optional<common::MonotonicTime> HedgeAt;
  std::optional<AttemptResult> Result;
  std::vector<AttemptNote> Notes;
};

} // namespace acaciacross::forwarding

#endif
