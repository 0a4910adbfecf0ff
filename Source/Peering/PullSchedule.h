#ifndef ACACIACROSS_PEERING_PULLSCHEDULE_H
#define ACACIACROSS_PEERING_PULLSCHEDULE_H

#include "Common/Address.h"
#include "Common/Time.h"

#include <chrono>
#include <map>

namespace acaciacross::peering {

/// Decides whether to pull from a peer that knows a newer revision. One pull is
/// enough while its peer may still answer; another peer is asked when it takes
/// longer than that, because a peer may stop in the moment in which it is
/// asked.
class PullSchedule {
public:
  bool mayBegin(const common::Address &Peer, common::MonotonicTime Now) const;
  void begin(const common::Address &Peer, common::MonotonicTime Now);
  /// The pull from the peer was answered or has failed. Returns its duration; 0
  /// if there was none.
  std::chrono::nanoseconds end(const common::Address &Peer,
                               common::MonotonicTime Now);

private:
  /// The start of each pull that has not ended.
  std::map<common::Address, common::MonotonicTime> Running;
};

} // namespace acaciacross::peering

#endif
