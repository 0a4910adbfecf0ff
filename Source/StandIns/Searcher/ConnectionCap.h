#ifndef ACACIACROSS_STANDINS_SEARCHER_CONNECTIONCAP_H
#define ACACIACROSS_STANDINS_SEARCHER_CONNECTIONCAP_H

#include "StandIns/Http/ConnectionObserver.h"

#include <cstdint>
#include <mutex>

namespace acaciacross::standins {

/// Refuses connections over a cap and counts them.
class ConnectionCap final : public ConnectionObserver {
public:
  explicit ConnectionCap(std::uint32_t Cap);

  bool connectionOpened() override;
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
