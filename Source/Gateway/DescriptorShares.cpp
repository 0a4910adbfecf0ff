#include "Gateway/DescriptorShares.h"

#include <algorithm>

namespace acaciacross::gateway {

namespace {

// Callers ask for addresses all at once after the loss of many VMs.
constexpr std::size_t DirectoryDivisor = 8;
// The platform and the operators need a few connections. A crowd at a page port
// is turned over in a short time, so their probes get a turn.
constexpr std::size_t PageDivisor = 32;
constexpr std::size_t MinPageConnections = 4;
// Readiness and metrics.
constexpr std::size_t PagePorts = 2;

} // namespace

DescriptorShares::DescriptorShares(std::size_t Total) : Total(Total) {}

// At least a quarter is kept for this VM's own connections and files; with many
// searchers, room for a growth by an eighth of all descriptors.
std::size_t DescriptorShares::callers(std::size_t UpstreamConnections) const {
  const std::size_t Kept =
      std::max(this->Total / 4, UpstreamConnections + this->Total / 8) +
      this->directory() + PagePorts * this->page();
  return this->Total > Kept + 1 ? this->Total - Kept : 1;
}

std::size_t DescriptorShares::directory() const {
  return std::max(MinPageConnections, this->Total / DirectoryDivisor);
}

std::size_t DescriptorShares::page() const {
  return std::max(MinPageConnections, this->Total / PageDivisor);
}

} // namespace acaciacross::gateway
