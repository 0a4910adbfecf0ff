#include "Peering/ProbeSocket.h"

#include "Common/Error.h"
#include "Peering/DatagramCodec.h"
#include "Peering/MessageLimits.h"
#include "Peering/PeerMessageError.h"

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <array>

namespace acaciacross::peering {

namespace {

// Limits the time taken from other work of the control thread. The remaining
// datagrams are read in the next iteration of the reactor.
constexpr int MaxDatagramsPerEvent = 64;
// More datagrams than a socket buffer of the usual 208 KB holds.
constexpr int MaxDiscardedDatagrams = 4096;

common::Address toAddress(const ACE_INET_Addr &Peer) {
  return common::Address{Peer.get_host_addr(), Peer.get_port_number()};
}

} // namespace

ProbeSocket::ProbeSocket(const common::Address &Local, ACE_Reactor &Reactor,
                         DatagramListener &Listener, const common::Clock &Time)
    : ACE_Event_Handler(&Reactor), Listener(Listener), Time(Time) {
  const ACE_INET_Addr Bound(Local.Port, Local.Host.c_str());
  if (this->Socket.open(Bound) < 0 || this->Socket.enable(ACE_NONBLOCK) < 0 ||
      Reactor.register_handler(this, ACE_Event_Handler::READ_MASK) < 0) {
    this->Socket.close();
    throw common::Error(common::ResultCode::SocketFailed,
                        "cannot open a UDP socket at " + Local.toString());
  }
}

ProbeSocket::~ProbeSocket() {
  this->reactor()->remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                            ACE_Event_Handler::DONT_CALL);
  this->Socket.close();
}

void ProbeSocket::sendProbe(const common::Address &To, std::uint64_t Sequence,
                            const membership::Heartbeat &Content) {
  this->send(To, ProbeMessage{Sequence, Content});
}

void ProbeSocket::sendAck(const common::Address &To, std::uint64_t Sequence,
                          const membership::Heartbeat &Content) {
  this->send(To, ProbeAckMessage{Sequence, Content});
}

void ProbeSocket::sendEvidence(const common::Address &To,
                               const EvidenceMessage &Message) {
  this->send(To, Message);
}

// The number is limited, because peers continue to send in the meantime.
void ProbeSocket::discardQueuedDatagrams() {
  char Byte = 0;
  ACE_INET_Addr Peer;
  for (int Count = 0; Count < MaxDiscardedDatagrams; ++Count) {
    if (this->Socket.recv(&Byte, 1, Peer) < 0)
      return;
  }
}

common::Address ProbeSocket::local() const {
  ACE_INET_Addr Bound;
  this->Socket.get_local_addr(Bound);
  return toAddress(Bound);
}

std::uint64_t ProbeSocket::dropped() const { return this->Drops.total(); }

std::uint64_t ProbeSocket::bytesSent() const { return this->BytesSent; }

ACE_HANDLE ProbeSocket::get_handle() const { return this->Socket.get_handle(); }

int ProbeSocket::handle_input(ACE_HANDLE) {
  // The extra byte shows whether a datagram exceeds the limit.
  std::array<char, MaxDatagramBytes + 1> Buffer{};
  for (int Count = 0; Count < MaxDatagramsPerEvent; ++Count) {
    ACE_INET_Addr Peer;
    const ssize_t Length =
        this->Socket.recv(Buffer.data(), Buffer.size(), Peer);
    if (Length < 0)
      return 0;
    this->receive(toAddress(Peer), std::string_view(Buffer.data(), Length));
  }
  return 0;
}

// A datagram that the socket buffer does not take is lost like one that the
// network drops.
void ProbeSocket::send(const common::Address &To, const PeerDatagram &Message) {
  try {
    const std::string Bytes = encodeDatagram(Message);
    const ACE_INET_Addr Peer(To.Port, To.Host.c_str());
    if (this->Socket.send(Bytes.data(), Bytes.size(), Peer) > 0)
      this->BytesSent += Bytes.size();
  } catch (const PeerMessageError &Error) {
    this->Drops.record(To, Error.what(), this->Time.monotonicNow());
  }
}

void ProbeSocket::receive(const common::Address &From, std::string_view Bytes) {
  PeerDatagram Message;
  try {
    Message = decodeDatagram(Bytes);
  } catch (const PeerMessageError &Error) {
    this->Drops.record(From, Error.what(), this->Time.monotonicNow());
    return;
  }
  if (const auto *Probe = std::get_if<ProbeMessage>(&Message))
    this->Listener.onProbe(From, *Probe);
  else if (const auto *Ack = std::get_if<ProbeAckMessage>(&Message))
    this->Listener.onAck(From, *Ack);
  else
    this->Listener.onEvidence(From, std::get<EvidenceMessage>(Message));
}

} // namespace acaciacross::peering
