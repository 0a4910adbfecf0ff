#ifndef ACACIACROSS_BENCHMARKS_CAPACITY_PROBECOLLECTOR_H
#define ACACIACROSS_BENCHMARKS_CAPACITY_PROBECOLLECTOR_H

#include "Membership/PeerChannel.h"

#include <utility>
#include <vector>

namespace acaciacross::benchmarks {

/// Peer channel that records the address and sequence number of each probe
/// instead of sending it, and drops acknowledgements.
class ProbeCollector final : public membership::PeerChannel {
public:
  using Probe = std::pair<common::Address, std::uint64_t>;

  void sendProbe(const common::Address &To, std::uint64_t Sequence,
                 const membership::Heartbeat & /*Content*/) override {
    this->Sent.emplace_back(To, Sequence);
  }
  void sendAck(const common::Address & /*To*/, std::uint64_t /*Sequence*/,
               const membership::Heartbeat & /*Content*/) override {}

  std::vector<Probe> takeSent() { return std::exchange(this->Sent, {}); }

private:
  std::vector<Probe> Sent;
};

} // namespace acaciacross::benchmarks

#endif
