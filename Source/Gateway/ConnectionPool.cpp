#include "Gateway/ConnectionPool.h"

#include <algorithm>
#include <utility>

namespace acaciacross::gateway {

namespace {

// The searcher counts from the time it sent its last response, and gives the
// timeout in whole seconds.
constexpr std::chrono::milliseconds IdleTimeoutMargin{700};
// A request that cannot be repeated uses only a connection that was in use less
// than this long ago, since a searcher may not publish its idle timeout.
constexpr std::chrono::milliseconds MaxAtMostOnceIdleTime{1'000};

// How long the pool does not grow after a rejection. Other VMs close
// connections that they do not need within a few seconds.
constexpr std::chrono::milliseconds RejectionBackoff{2'000};

bool isUsable(const IdleConnection &Idle, common::MonotonicTime Now,
              bool IsAtMostOnce) {
  const auto Age = Now - Idle.IdleSince;
  if (Idle.IdleTimeout && Age > *Idle.IdleTimeout - IdleTimeoutMargin)
    return false;
  return !IsAtMostOnce || Age <= MaxAtMostOnceIdleTime;
}

} // namespace

ConnectionPool::ConnectionPool(common::Address Address)
    : Address(std::move(Address)) {}

const common::Address &ConnectionPool::address() const { return this->Address; }

std::size_t ConnectionPool::size() const {
  return this->Busy.size() + this->Idle.size();
}

bool ConnectionPool::hasFreeConnection(common::MonotonicTime Now,
                                       std::size_t Share) const {
  if (!this->Idle.empty())
    return true;
  const std::size_t MaxConnections =
      Now < this->LimitedUntil ? std::min(Share, this->Limit) : Share;
  return this->size() < MaxConnections;
}

// The most recently used connection is taken first, so that surplus connections
// reach the idle timeout of the searcher.
std::shared_ptr<UpstreamConnection>
ConnectionPool::takeIdle(common::MonotonicTime Now, bool IsAtMostOnce) {
  while (!this->Idle.empty()) {
    const IdleConnection Last = std::move(this->Idle.back());
    this->Idle.pop_back();
    if (isUsable(Last, Now, IsAtMostOnce)) {
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
    common::MonotonicTime Now,
    std::optional<std::chrono::seconds> IdleTimeout) {
  this->Busy.erase(Connection.get());
  this->Idle.push_back({Connection, Now, IdleTimeout});
}

void ConnectionPool::remove(const UpstreamConnection &Connection) {
  this->Busy.erase(&Connection);
  std::erase_if(this->Idle, [&](const IdleConnection &Entry) {
    return Entry.Connection.get() == &Connection;
  });
}

void ConnectionPool::noteRejected(common::MonotonicTime Now) {
  this->Limit = std::max<std::size_t>(1, this->size());
  this->LimitedUntil = Now + RejectionBackoff;
}

void ConnectionPool::closeIdle() {
  for (const IdleConnection &Entry : this->Idle)
    Entry.Connection->close();
  this->Idle.clear();
}

} // namespace acaciacross::gateway
