#include "Peering/ServerTransfer.h"

#include "Peering/MessageLimits.h"

#include <utility>

namespace acaciacross::peering {

ServerTransfer::ServerTransfer(ACE_Reactor &Reactor,
                               const ACE_SOCK_Stream &Connection,
                               common::Address Peer, TransferServer &Server)
    : TransferStream(Reactor, Connection, MaxPullBytes), Peer(std::move(Peer)),
      Server(Server) {}

// The peer closes the connection after the reply. A second request is refused,
// because replies that the peer does not read would use up the memory.
bool ServerTransfer::onFrame(std::string Frame) {
  if (this->IsAnswered)
    return false;
  this->IsAnswered = true;
  const std::string Reply = this->Server.answer(this->Peer, Frame);
  if (Reply.empty())
    return false;
  this->send(Reply);
  return true;
}

void ServerTransfer::onEnd() { this->Server.removeTransfer(this); }

} // namespace acaciacross::peering
