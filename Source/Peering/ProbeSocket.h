#ifndef ACACIACROSS_PEERING_PROBESOCKET_H
#define ACACIACROSS_PEERING_PROBESOCKET_H

#include "Common/Clock.h"
#include "Membership/PeerChannel.h"
#include "Peering/DatagramListener.h"
#include "Peering/DropCounter.h"
#include "Peering/PeerDatagram.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Dgram.h>
#include <cstdint>
#include <string_view>

namespace acaciacross::peering {

/// UDP socket for probes and acknowledgements; runs on the reactor of the
/// control thread.
class ProbeSocket final : public ACE_Event_Handler,
                          public membership::PeerChannel {
public:
  /// Throws common::Error (SocketFailed). All arguments must outlive this
  /// object.
  ProbeSocket(const common::Address &Local, ACE_Reactor &Reactor,
              DatagramListener &Listener, const common::Clock &Time);
  ~ProbeSocket() override;
  ProbeSocket(const ProbeSocket &) = delete;
  ProbeSocket &operator=(const ProbeSocket &) = delete;

  void sendProbe(const common::Address &To, std::uint64_t Sequence,
                 const membership::Heartbeat &Content) override;
  void sendAck(const common::Address &To, std::uint64_t Sequence,
               const membership::Heartbeat &Content) override;

  void sendEvidence(const common::Address &To, const EvidenceMessage &Message);

  /// Discards the datagrams that are queued in the socket buffer.
  void discardQueuedDatagrams();

  /// The address that the socket is bound to.
  common::Address local() const;

  /// Number of messages so far that were malformed or could not be encoded.
  std::uint64_t dropped() const;
  /// Number of payload bytes sent so far.
  std::uint64_t bytesSent() const;

private:
  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE Handle) override;

  void send(const common::Address &To, const PeerDatagram &Message);
  void receive(const common::Address &From, std::string_view Bytes);

  DatagramListener &Listener;
  const common::Clock &Time;
  ACE_SOCK_Dgram Socket;
  DropCounter Drops;
  std::uint64_t BytesSent = 0;
};

} // namespace acaciacross::peering

#endif
