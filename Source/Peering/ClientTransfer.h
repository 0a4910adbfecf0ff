#ifndef ACACIACROSS_PEERING_CLIENTTRANSFER_H
#define ACACIACROSS_PEERING_CLIENTTRANSFER_H

#include "Common/Address.h"
#include "Peering/TransferClient.h"
#include "Peering/TransferStream.h"

namespace acaciacross::peering {

/// A connection to a peer that sends one request and receives one reply.
class ClientTransfer final : public TransferStream {
public:
  ClientTransfer(ACE_Reactor &Reactor, const ACE_SOCK_Stream &Connection,
                 common::Address Peer, TransferClient &Client);

private:
  bool onFrame(std::string Frame) override;
  void onEnd() override;

  common::Address Peer;
  TransferClient &Client;
  bool IsComplete = false;
};

} // namespace acaciacross::peering

#endif
