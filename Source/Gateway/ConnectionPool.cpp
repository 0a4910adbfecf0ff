#include "Gateway/ConnectionPool.h"

#include <algorithm>
#include <utility>

namespace acaciacross::gateway {

namespace {

// The searcher counts from when it sent its last response, and its clock is
// told in whole seconds.
constexpr std::chrono::milliseconds LifetimeMargin{700};
// When a searcher names no lifetime, a request that cannot be repeated takes
// only a connection that was in use just before.
constexpr std::chrono::milliseconds SureLifetime{1'000};

// Other VMs give up connections that they do not need within a few seconds.
constexpr std::chrono::milliseconds RejectionTime{2'000};

bool isSure(const IdleConnection &Idle, common::MonotonicTime Now,
            bool IsAtMostOnce) {
  const auto Age = Now - Idle.Since;
  if (Idle.Lifetime && Age > *Idle.Lifetime - LifetimeMargin)
    return false;
  return !IsAtMostOnce || Age <= SureLifetime;
}

} // namespace

ConnectionPool::ConnectionPool(common::Address Searcher)
    : Address(std::move(Searcher)) {}

const common::Address &ConnectionPool::address() const { return this->Address; }

std::size_t ConnectionPool::size() const {
  return this->Busy.size() + this->Idle.size();
}

bool ConnectionPool::hasRoom(common::MonotonicTime Now,
                             std::size_t Share) const {
  if (!this->Idle.empty())
    return true;
  const std::size_t Most =
      Now < this->LimitedUntil ? std::min(Share, this->Limit) : Share;
  return this->size() < Most;
}

// The one used last is taken first, so that connections beyond the need time
// out at the searcher.
std::shared_ptr<UpstreamConnection>
ConnectionPool::takeIdle(common::MonotonicTime Now, bool IsAtMostOnce) {
  while (!this->Idle.empty()) {
    const IdleConnection Last = std::move(this->Idle.back());
    this->Idle.pop_back();
    if (isSure(Last, Now, IsAtMostOnce)) {
      this->Busy.insert(Last.Connection.get());
      return Last.Connection;
    }
    Last.Connection->close();
  }
  return nullptr;
}

void ConnectionPool::addBusy(
    const std::shared_ptr<UpstreamConnection> &Connection) {
  this->Busy.insert(Connection.get());
}

void ConnectionPool::release(
    const std::shared_ptr<UpstreamConnection> &Connection,
    common::MonotonicTime Now, std::optional<std::chrono::seconds> Lifetime) {
  this->Busy.erase(Connection.get());
  this->Idle.push_back({Connection, Now, Lifetime});
}

void ConnectionPool::remove(const UpstreamConnection &Connection) {
  this->Busy.erase(&Connection);
  std::erase_if(this->Idle, [&](const IdleConnection &Each) {
    return Each.Connection.get() == &Connection;
  });
}

void ConnectionPool::noteRejected(common::MonotonicTime Now) {
  this->Limit = std::max<std::size_t>(1, this->size());
  this->LimitedUntil = Now + RejectionTime;
}

void ConnectionPool::closeIdle() {
  for (const IdleConnection &Each : this->Idle)
    Each.Connection->close();
  this->Idle.clear();
}

} // namespace acaciacross::gateway
