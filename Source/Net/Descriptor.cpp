#include "Net/Descriptor.h"

#include <unistd.h>

#include <utility>

namespace acaciacross::net {

Descriptor &Descriptor::operator=(Descriptor &&Other) noexcept {
  if (this != &Other) {
    this->reset();
    this->Number = Other.release();
  }
  return *this;
}

int Descriptor::release() { return std::exchange(this->Number, -1); }

void Descriptor::reset() {
  if (this->Number >= 0)
    ::close(std::exchange(this->Number, -1));
}

} // namespace acaciacross::net
