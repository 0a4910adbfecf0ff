#ifndef ACACIACROSS_PEERING_SERVERTRANSFER_H
#define ACACIACROSS_PEERING_SERVERTRANSFER_H

#include "Common/Address.h"
#include "Peering/TransferServer.h"
#include "Peering/TransferStream.h"

namespace acaciacross::peering {

/// One connection of a peer: one request, one reply.
class ServerTransfer final : public TransferStream {
public:
  ServerTransfer(ACE_Reactor &Events, const ACE_SOCK_Stream &Connection,
                 common::Address Remote, TransferServer &Owner);

private:
  bool onFrame(std::string Frame) override;
  void onEnd() override;

  common::Address Peer;
  TransferServer &Server;
  bool Answered = false;
};

} // namespace acaciacross::peering

#endif
