#ifndef ACACIACROSS_PEERING_TRANSFERSERVER_H
#define ACACIACROSS_PEERING_TRANSFERSERVER_H

#include "Common/Clock.h"
#include "Peering/ConfigurationSource.h"
#include "Peering/DropCounter.h"

#include <ace/Event_Handler.h>
#include <ace/SOCK_Acceptor.h>
#include <cstdint>
#include <set>
#include <string>

namespace acaciacross::peering {

class ServerTransfer;

/// Answers configuration pulls of peers over TCP.
class TransferServer final : public ACE_Event_Handler {
public:
  /// Throws common::Error (SocketFailed). All arguments must outlive this
  /// object.
  TransferServer(const common::Address &Local, ACE_Reactor &Reactor,
                 ConfigurationSource &Source, const common::Clock &Time);
  ~TransferServer() override;
  TransferServer(const TransferServer &) = delete;
  TransferServer &operator=(const TransferServer &) = delete;

  /// The address that the server listens on.
  common::Address local() const;

  /// Number of malformed requests so far.
  std::uint64_t dropped() const;

private:
  friend class ServerTransfer;

  ACE_HANDLE get_handle() const override;
  int handle_input(ACE_HANDLE Handle) override;

  /// The reply to a request; empty when the request is malformed.
  std::string answer(const common::Address &From, const std::string &Request);
  /// Removes a transfer that has ended.
  void removeTransfer(ServerTransfer *Transfer);

  ConfigurationSource &Source;
  const common::Clock &Time;
  ACE_SOCK_Acceptor Acceptor;
  std::set<ServerTransfer *> Transfers;
  DropCounter Drops;
};

} // namespace acaciacross::peering

#endif
