#include "Net/Descriptor.h"

#include <unistd.h>

#include <utility>

namespace acaciacross::net {

Descriptor &Descriptor::operator=(Descriptor &&Other) noexcept {
  if (this != &Other) {
    this->reset();
    this->Fd = Other.release();
  }
  return *this;
}

int Descriptor::release() { return std::exchange(this->Fd, -1); }

void Descriptor::reset() {
  if (this->Fd >= 0)
    ::close(std::exchange(this->Fd, -1));
}

} // namespace acaciacross::net
