#ifndef ACACIACROSS_CONTROL_JOINRULE_H
#define ACACIACROSS_CONTROL_JOINRULE_H

#include "Common/Time.h"

#include <chrono>

namespace acaciacross::control {

/// Decides when a starting VM may serve: it needs documents in effect, and
/// either a peer that has answered or the end of the join time. The wait gives
/// peers the chance to correct what a stale configuration service said.
class JoinRule {
public:
  static constexpr std::chrono::seconds JoinTime{2};

  explicit JoinRule(common::MonotonicTime StartedAt);

  /// A peer has answered, and what it had is in effect here.
  void notePeerAnswer();

  bool mayServe(bool HasDocuments, common::MonotonicTime Now) const;

private:
  common::MonotonicTime Start;
  bool PeerAnswered = false;
};

} // namespace acaciacross::control

#endif
