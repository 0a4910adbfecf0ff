#ifndef ACACIACROSS_MEMBERSHIP_DRAINSPREAD_H
#define ACACIACROSS_MEMBERSHIP_DRAINSPREAD_H

#include "Membership/DrainNotice.h"

#include <cstddef>
#include <map>
#include <vector>

namespace acaciacross::membership {

/// Chooses which drain notices go out in a round. Each goes out in a bounded
/// number of rounds; more than fit into one message take turns.
class DrainSpread {
public:
  /// Current: all notices that are still of use.
  std::vector<DrainNotice> take(const std::vector<DrainNotice> &Current);

private:
  std::map<common::SearcherId, std::size_t> RoundsLeft;
};

} // namespace acaciacross::membership

#endif
