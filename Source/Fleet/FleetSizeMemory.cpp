#include "Fleet/FleetSizeMemory.h"

namespace acaciacross::fleet {

FleetSizeMemory::FleetSizeMemory(std::chrono::milliseconds Window)
    : Length(Window) {}

void FleetSizeMemory::note(common::MonotonicTime Now, unsigned Size) {
  while (!this->Sizes.empty() && this->Sizes.back().second <= Size)
    this->Sizes.pop_back();
  this->Sizes.emplace_back(Now, Size);
}

unsigned FleetSizeMemory::largest(common::MonotonicTime Now) {
  while (this->Sizes.size() > 1 &&
         Now - this->Sizes.front().first > this->Length)
    this->Sizes.pop_front();
  return this->Sizes.empty() ? 1 : this->Sizes.front().second;
}

} // namespace acaciacross::fleet
