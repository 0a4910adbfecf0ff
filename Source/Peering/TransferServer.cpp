#include "Peering/TransferServer.h"

#include "Common/Error.h"
#include "Peering/MessageLimits.h"
#include "Peering/PeerMessageError.h"
#include "Peering/ServerTransfer.h"
#include "Peering/TransferCodec.h"

#include <ace/INET_Addr.h>
#include <ace/Reactor.h>

namespace acaciacross::peering {

namespace {

// All standby VMs of a failure domain may pull at the same time. Connection
// requests beyond the backlog are lost and repeated after a second.
constexpr int Backlog = 1'024;

} // namespace

TransferServer::TransferServer(const common::Address &Local,
                               ACE_Reactor &Reactor,
                               ConfigurationSource &Source,
                               const common::Clock &Time)
    : ACE_Event_Handler(&Reactor), Source(Source), Time(Time) {
  const ACE_INET_Addr Bound(Local.Port, Local.Host.c_str());
  // Without address reuse, a restarted VM could not listen while connections of
  // the previous run are in TIME_WAIT.
  const int ReuseAddress = 1;
  if (this->Acceptor.open(Bound, ReuseAddress, PF_INET, Backlog) < 0 ||
      this->Acceptor.enable(ACE_NONBLOCK) < 0 ||
      Reactor.register_handler(this, ACE_Event_Handler::ACCEPT_MASK) < 0) {
    this->Acceptor.close();
    throw common::Error(common::ResultCode::SocketFailed,
                        "cannot open a TCP socket at " + Local.toString());
  }
}

TransferServer::~TransferServer() {
  this->reactor()->remove_handler(this, ACE_Event_Handler::ALL_EVENTS_MASK |
                                            ACE_Event_Handler::DONT_CALL);
  this->Acceptor.close();
  for (ServerTransfer *Transfer : this->Transfers)
    Transfer->abandon();
}

common::Address TransferServer::local() const {
  ACE_INET_Addr Bound;
  this->Acceptor.get_local_addr(Bound);
  return {Bound.get_host_addr(), Bound.get_port_number()};
}

std::uint64_t TransferServer::dropped() const { return this->Drops.total(); }

ACE_HANDLE TransferServer::get_handle() const {
  return this->Acceptor.get_handle();
}

int TransferServer::handle_input(ACE_HANDLE) {
  ACE_SOCK_Stream Connection;
  ACE_INET_Addr Remote;
  if (this->Acceptor.accept(Connection, &Remote) < 0)
    return 0;
  if (this->Transfers.size() >= MaxServerTransfers) {
    Connection.close();
    return 0;
  }
  const common::Address Peer{Remote.get_host_addr(), Remote.get_port_number()};
  auto *Transfer =
      new ServerTransfer(*this->reactor(), Connection, Peer, *this);
  const ACE_Event_Handler_var Creation(Transfer);
  if (Transfer->start())
    this->Transfers.insert(Transfer);
  return 0;
}

std::string TransferServer::answer(const common::Address &From,
                                   const std::string &Request) {
  try {
    const ConfigurationChangesMessage Reply =
        this->Source.changesFor(decodePull(Request));
    return encodeChanges(Reply.Changes, Reply.CompleteAt, Reply.ChangesUpTo,
                         Reply.Era);
  } catch (const PeerMessageError &Error) {
    this->Drops.record(From, Error.what(), this->Time.monotonicNow());
    return {};
  }
}

void TransferServer::removeTransfer(ServerTransfer *Transfer) {
  this->Transfers.erase(Transfer);
}

} // namespace acaciacross::peering
