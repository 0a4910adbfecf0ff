#ifndef ACACIACROSS_MEMBERSHIP_PEERCHANNEL_H
#define ACACIACROSS_MEMBERSHIP_PEERCHANNEL_H

#include "Common/Address.h"
#include "Membership/Heartbeat.h"

#include <cstdint>

namespace acaciacross::membership {

/// Sends messages to peers. Delivery is not guaranteed; a message that cannot
/// be sent immediately is dropped.
class PeerChannel {
public:
  virtual ~PeerChannel() = default;

  virtual void sendProbe(const common::Address &To, std::uint64_t Sequence,
                         const Heartbeat &Content) = 0;

  /// Acknowledges the probe with the given sequence number.
  virtual void sendAck(const common::Address &To, std::uint64_t Sequence,
                       const Heartbeat &Content) = 0;
};

} // namespace acaciacross::membership

#endif
