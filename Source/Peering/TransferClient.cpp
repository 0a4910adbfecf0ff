#include "Peering/TransferClient.h"

#include "Peering/ClientTransfer.h"
#include "Peering/MessageLimits.h"
#include "Peering/PeerMessageError.h"
#include "Peering/TransferCodec.h"

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>
#include <ace/SOCK_Connector.h>
#include <cerrno>

namespace acaciacross::peering {

TransferClient::TransferClient(ACE_Reactor &Reactor, PullListener &Listener,
                               const common::Clock &Time)
    : Reactor(Reactor), Listener(Listener), Time(Time) {}

TransferClient::~TransferClient() {
  for (const auto &[Peer, Transfer] : this->Transfers)
    Transfer->abandon();
}

bool TransferClient::pull(const common::Address &From,
                          const ConfigurationPullMessage &Request) {
  if (this->Transfers.size() >= MaxClientTransfers ||
      this->Transfers.contains(From))
    return false;
  const std::string Frame = encodePull(Request);
  ACE_SOCK_Stream Connection;
  const ACE_INET_Addr Remote(From.Port, From.Host.c_str());
  // A timeout of zero starts the connection without waiting for it.
  const bool IsConnected = ACE_SOCK_Connector().connect(
                               Connection, Remote, &ACE_Time_Value::zero) == 0;
  if (!IsConnected && errno != EWOULDBLOCK) {
    Connection.close();
    return false;
  }
  auto *Transfer = new ClientTransfer(this->Reactor, Connection, From, *this);
  const ACE_Event_Handler_var Creation(Transfer);
  if (!Transfer->start())
    return false;
  this->Transfers.emplace(From, Transfer);
  Transfer->send(Frame);
  return true;
}

bool TransferClient::handleReply(const common::Address &From,
                                 const std::string &Reply) {
  try {
    this->Listener.onChanges(From, decodeChanges(Reply));
    return true;
  } catch (const PeerMessageError &Error) {
    this->Drops.record(From, Error.what(), this->Time.monotonicNow());
    return false;
  }
}

void TransferClient::finish(const common::Address &From, bool IsComplete) {
  this->Transfers.erase(From);
  if (!IsComplete)
    this->Listener.onPullFailed(From);
}

} // namespace acaciacross::peering
