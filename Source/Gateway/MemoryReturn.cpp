#include "Gateway/MemoryReturn.h"

#include <algorithm>

namespace acaciacross::gateway {

MemoryReturn::MemoryReturn(std::size_t MaxBytes) : MaxBytes(MaxBytes) {}

void MemoryReturn::update(std::size_t HeldBytes) {
  this->Held = HeldBytes;
  this->Peak = std::max(this->Peak, HeldBytes);
}

// A quarter of the limit is far above what ordinary callers hold together, so
// their coming and going returns nothing.
bool MemoryReturn::isDue() const {
  return this->Peak > this->MaxBytes / 4 && this->Held < this->Peak / 4;
}

void MemoryReturn::noteReturned() { this->Peak = this->Held; }

} // namespace acaciacross::gateway
