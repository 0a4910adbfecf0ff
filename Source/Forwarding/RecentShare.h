#ifndef ACACIACROSS_FORWARDING_RECENTSHARE_H
#define ACACIACROSS_FORWARDING_RECENTSHARE_H

#include "Common/Time.h"
#include "Forwarding/ServedShare.h"

namespace acaciacross::forwarding {

/// A served share of the last seconds; older requests fade.
class RecentShare {
public:
  void record(bool IsServed, common::MonotonicTime Now);
  ServedShare at(common::MonotonicTime Now) const;

private:
  ServedShare Counted;
  common::MonotonicTime CountedAt;
};

} // namespace acaciacross::forwarding

#endif
