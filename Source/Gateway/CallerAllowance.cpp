#include "Gateway/CallerAllowance.h"

namespace acaciacross::gateway {

namespace {

// Covers a lost packet between the connection and its request, which the caller
// sends again after up to a second.
constexpr std::chrono::milliseconds MinIdleTime{2'000};

} // namespace

CallerAllowance::CallerAllowance(const DescriptorShares &Shares,
                                 const UpstreamSender &Sender)
    : Shares(Shares), Sender(Sender) {}

std::size_t CallerAllowance::maxConnections() const {
  return this->Shares.callers(this->Sender.connections());
}

std::chrono::milliseconds CallerAllowance::minIdleTime() const {
  return MinIdleTime;
}

} // namespace acaciacross::gateway
