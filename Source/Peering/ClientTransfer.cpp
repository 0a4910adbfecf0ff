#include "Peering/ClientTransfer.h"

#include "Peering/MessageLimits.h"

#include <utility>

namespace acaciacross::peering {

ClientTransfer::ClientTransfer(ACE_Reactor &Reactor,
                               const ACE_SOCK_Stream &Connection,
                               common::Address Peer, TransferClient &Client)
    : TransferStream(Reactor, Connection, MaxChangesBytes),
      Peer(std::move(Peer)), Client(Client) {}

bool ClientTransfer::onFrame(std::string Frame) {
  this->IsComplete = this->Client.handleReply(this->Peer, Frame);
  return false;
}

void ClientTransfer::onEnd() {
  this->Client.finish(this->Peer, this->IsComplete);
}

} // namespace acaciacross::peering
