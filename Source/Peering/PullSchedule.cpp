#include "Peering/PullSchedule.h"

#include <algorithm>

namespace acaciacross::peering {

namespace {

// A pull takes two round trips and the time in which both VMs get to it.
constexpr std::chrono::milliseconds UsualPullTime{300};

} // namespace

bool PullSchedule::mayBegin(const common::Address &Peer,
                            common::MonotonicTime Now) const {
  return !this->Running.contains(Peer) &&
         std::ranges::all_of(this->Running, [Now](const auto &Entry) {
           return Now - Entry.second >= UsualPullTime;
         });
}

void PullSchedule::begin(const common::Address &Peer,
                         common::MonotonicTime Now) {
  this->Running.insert_or_assign(Peer, Now);
}

std::chrono::nanoseconds PullSchedule::end(const common::Address &Peer,
                                           common::MonotonicTime Now) {
  const auto It = this->Running.find(Peer);
  if (It == this->Running.end())
    return std::chrono::nanoseconds(0);
  const std::chrono::nanoseconds Duration = Now - It->second;
  this->Running.erase(It);
  return Duration;
}

} // namespace acaciacross::peering
