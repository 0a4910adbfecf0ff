#ifndef ACACIACROSS_STANDINS_SEARCHER_CONNECTIONCAP_H
#define ACACIACROSS_STANDINS_SEARCHER_CONNECTIONCAP_H

#include "StandIns/Http/ConnectionPolicy.h"

#include <cstdint>
#include <mutex>

namespace acaciacross::standins {

/// Refuses connections over a cap; counts open, accepted and refused ones.
class ConnectionCap final : public ConnectionPolicy {
public:
  explicit ConnectionCap(std::uint32_t Cap);

  bool admitConnection() override;
  void connectionClosed() override;

  std::uint64_t open() const;
  std::uint64_t peak() const;
  std::uint64_t refused() const;
  std::uint64_t accepted() const;

private:
  std::uint32_t Cap;
  mutable std::mutex Mutex;
  std::uint64_t Open = 0;
  std::uint64_t Peak = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Accepted = 0;
};

} // namespace acaciacross::standins

#endif
