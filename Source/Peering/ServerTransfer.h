#ifndef ACACIACROSS_PEERING_SERVERTRANSFER_H
#define ACACIACROSS_PEERING_SERVERTRANSFER_H

#include "Common/Address.h"
#include "Peering/TransferServer.h"
#include "Peering/TransferStream.h"

namespace acaciacross::peering {

/// A connection from a peer that receives one request and sends one reply.
class ServerTransfer final : public TransferStream {
public:
  ServerTransfer(ACE_Reactor &Reactor, const ACE_SOCK_Stream &Connection,
                 common::Address Peer, TransferServer &Server);

private:
  bool onFrame(std::string Frame) override;
  void onEnd() override;

  common::Address Peer;
  TransferServer &Server;
  bool IsAnswered = false;
};

} // namespace acaciacross::peering

#endif
