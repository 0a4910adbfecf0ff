#ifndef ACACIACROSS_MEMBERSHIP_DRAINNOTICEQUEUE_H
#define ACACIACROSS_MEMBERSHIP_DRAINNOTICEQUEUE_H

#include "Membership/DrainNotice.h"

#include <cstddef>
#include <map>
#include <vector>

namespace acaciacross::membership {

/// Chooses the drain notices to send in a round. Each notice is sent in a
/// limited number of rounds. If more notices are due than fit into one message,
/// they take turns.
class DrainNoticeQueue {
public:
  /// Returns the notices to send in the next round. Current: all notices that
  /// are still relevant.
  std::vector<DrainNotice> take(const std::vector<DrainNotice> &Current);

private:
  std::map<common::SearcherId, std::size_t> RoundsLeft;
};

} // namespace acaciacross::membership

#endif
