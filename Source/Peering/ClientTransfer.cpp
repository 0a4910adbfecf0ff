#include "Peering/ClientTransfer.h"

#include "Peering/MessageLimits.h"

#include <utility>

namespace acaciacross::peering {

ClientTransfer::ClientTransfer(ACE_Reactor &Events,
                               const ACE_SOCK_Stream &Connection,
                               common::Address Remote, TransferClient &Owner)
    : TransferStream(Events, Connection, MaxChangesBytes),
      Peer(std::move(Remote)), Client(Owner) {}

bool ClientTransfer::onFrame(std::string Frame) {
  this->Complete = this->Client.take(this->Peer, Frame);
  return false;
}

void ClientTransfer::onEnd() {
  this->Client.finish(this->Peer, this->Complete);
}

} // namespace acaciacross::peering
