#ifndef ACACIACROSS_MEMBERSHIP_HEARTBEAT_H
#define ACACIACROSS_MEMBERSHIP_HEARTBEAT_H

#include "Membership/DrainNotice.h"
#include "Membership/MemberStatus.h"
#include "Membership/MemberUpdate.h"

#include <cstddef>
#include <vector>

namespace acaciacross::membership {

/// Maximum number of member updates and drain notices in one message. With ids
/// of usual length they fit into one datagram of 1,200 bytes.
constexpr std::size_t MaxMemberUpdates = 8;
constexpr std::size_t MaxDrainNotices = 16;

/// Content of a probe or of an acknowledgement.
struct Heartbeat {
  MemberStatus Sender;
  std::vector<MemberUpdate> Updates;
  std::vector<DrainNotice> Drains;

  bool operator==(const Heartbeat &) const = default;
};

} // namespace acaciacross::membership

#endif
