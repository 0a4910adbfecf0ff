#include "Peering/ServerTransfer.h"

#include "Peering/MessageLimits.h"

#include <utility>

namespace acaciacross::peering {

ServerTransfer::ServerTransfer(ACE_Reactor &Events,
                               const ACE_SOCK_Stream &Connection,
                               common::Address Remote, TransferServer &Owner)
    : TransferStream(Events, Connection, MaxPullBytes), Peer(std::move(Remote)),
      Server(Owner) {}

// The peer closes after the reply. A second request is refused: replies that
// the peer does not read would fill the memory.
bool ServerTransfer::onFrame(std::string Frame) {
  if (this->Answered)
    return false;
  this->Answered = true;
  const std::string Reply = this->Server.answer(this->Peer, Frame);
  if (Reply.empty())
    return false;
  this->send(Reply);
  return true;
}

void ServerTransfer::onEnd() { this->Server.forget(this); }

} // namespace acaciacross::peering
