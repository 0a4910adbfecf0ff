#include "Gateway/PageAllowance.h"

namespace acaciacross::gateway {

namespace {

// A probe sends its request at once, over a link of some milliseconds.
constexpr std::chrono::milliseconds MinIdleTime{200};

} // namespace

PageAllowance::PageAllowance(std::size_t MaxConnections)
    : MaxConnections(MaxConnections) {}

std::size_t PageAllowance::maxConnections() const {
  return this->MaxConnections;
}

std::chrono::milliseconds PageAllowance::minIdleTime() const {
  return MinIdleTime;
}

} // namespace acaciacross::gateway
