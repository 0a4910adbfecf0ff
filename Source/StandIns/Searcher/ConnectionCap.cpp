#include "StandIns/Searcher/ConnectionCap.h"

#include <algorithm>

namespace acaciacross::standins {

ConnectionCap::ConnectionCap(std::uint32_t Cap) : Cap(Cap) {}

bool ConnectionCap::admitConnection() {
  const std::scoped_lock Lock(this->Mutex);
  if (this->Open >= this->Cap) {
    ++this->Refused;
    return false;
  }
  ++this->Accepted;
  this->Peak = std::max(this->Peak, ++this->Open);
  return true;
}

void ConnectionCap::connectionClosed() {
  const std::scoped_lock Lock(this->Mutex);
  --this->Open;
}

std::uint64_t ConnectionCap::open() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Open;
}

std::uint64_t ConnectionCap::peak() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Peak;
}

std::uint64_t ConnectionCap::refused() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Refused;
}

std::uint64_t ConnectionCap::accepted() const {
  const std::scoped_lock Lock(this->Mutex);
  return this->Accepted;
}

} // namespace acaciacross::standins
