#ifndef ACACIACROSS_PEERING_CLIENTTRANSFER_H
#define ACACIACROSS_PEERING_CLIENTTRANSFER_H

#include "Common/Address.h"
#include "Peering/TransferClient.h"
#include "Peering/TransferStream.h"

namespace acaciacross::peering {

/// One connection to a peer: one request, one reply.
class ClientTransfer final : public TransferStream {
public:
  ClientTransfer(ACE_Reactor &Events, const ACE_SOCK_Stream &Connection,
                 common::Address Remote, TransferClient &Owner);

private:
  bool onFrame(std::string Frame) override;
  void onEnd() override;

  common::Address Peer;
  TransferClient &Client;
  bool Complete = false;
};

} // namespace acaciacross::peering

#endif
