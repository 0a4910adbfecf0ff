#ifndef ACACIACROSS_MEMBERSHIP_FLEETNEWS_H
#define ACACIACROSS_MEMBERSHIP_FLEETNEWS_H

#include "Membership/AddressHints.h"
#include "Membership/FleetTable.h"
#include "Membership/Heartbeat.h"
#include "Membership/UpdateQueue.h"

#include <vector>

namespace acaciacross::membership {

/// Takes in what peers say of themselves and of each other, and queues what
/// others should hear.
class FleetNews {
public:
  /// All of it must outlive this.
  FleetNews(FleetTable &Table, AddressHints &Known, UpdateQueue &Outgoing);

  std::vector<FleetEvent> apply(const common::Address &From,
                                const Heartbeat &Content,
                                common::MonotonicTime Now);
  void spread(const FleetEvent &Event);

private:
  FleetTable &Fleet;
  AddressHints &Hints;
  UpdateQueue &Updates;
};

} // namespace acaciacross::membership

#endif
