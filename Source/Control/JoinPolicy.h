#ifndef ACACIACROSS_CONTROL_JOINPOLICY_H
#define ACACIACROSS_CONTROL_JOINPOLICY_H

#include "Common/Time.h"

#include <chrono>

namespace acaciacross::control {

/// Decides when a starting VM may serve: when documents are in effect and
/// either a peer has answered or the join time is over. The wait allows peers
/// to correct an outdated answer of a stale configuration service.
class JoinPolicy {
public:
  static constexpr std::chrono::seconds JoinTime{2};

  explicit JoinPolicy(common::MonotonicTime StartedAt);

  /// Records that a peer has answered and that its changes have been applied.
  void recordPeerAnswer();

  bool canServe(bool HasDocuments, common::MonotonicTime Now) const;

private:
  common::MonotonicTime Start;
  bool HasPeerAnswered = false;
};

} // namespace acaciacross::control

#endif
