#include "Fleet/FleetSizeMemory.h"

namespace acaciacross::fleet {

namespace {

// A VM that starts hears of its peers over several rounds of probes; until then
// it would take the part of many. All VMs may start at the same moment. The
// fleet counts as known when some rounds bring no new peer.
constexpr std::chrono::milliseconds LearningTime{350};

} // namespace

FleetSizeMemory::FleetSizeMemory(std::chrono::milliseconds Window)
    : Sizes(Window) {}

void FleetSizeMemory::note(common::MonotonicTime Now, unsigned Size,
                           bool IsLearning) {
  if (!this->IsKnown && (Size > this->Known || IsLearning)) {
    this->Known = Size;
    this->GrownAt = Now;
  }
  if (Now - this->GrownAt >= LearningTime)
    this->IsKnown = true;
  this->Sizes.note(Now, Size);
}

unsigned FleetSizeMemory::largest(common::MonotonicTime Now) {
  return this->IsKnown ? this->Sizes.largest(Now) : Unknown;
}

} // namespace acaciacross::fleet
