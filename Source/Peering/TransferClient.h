#ifndef ACACIACROSS_PEERING_TRANSFERCLIENT_H
#define ACACIACROSS_PEERING_TRANSFERCLIENT_H

#include "Common/Clock.h"
#include "Peering/ConfigurationPullMessage.h"
#include "Peering/DropCounter.h"
#include "Peering/PullListener.h"

#include <cstdint>
#include <map>
#include <string>

class ACE_Reactor;

namespace acaciacross::peering {

class ClientTransfer;

/// Pulls configuration from peers over TCP.
class TransferClient {
public:
  /// All arguments must outlive this object.
  TransferClient(ACE_Reactor &Reactor, PullListener &Listener,
                 const common::Clock &Time);
  ~TransferClient();
  TransferClient(const TransferClient &) = delete;
  TransferClient &operator=(const TransferClient &) = delete;

  /// Starts a pull. Returns false and does not call the listener when a pull
  /// from that peer is running, too many pulls are running, or no connection
  /// can be started.
  bool pull(const common::Address &From,
            const ConfigurationPullMessage &Request);

private:
  friend class ClientTransfer;

  /// Passes a reply to the listener; false when the reply is malformed.
  bool handleReply(const common::Address &From, const std::string &Reply);
  void finish(const common::Address &From, bool IsComplete);

  ACE_Reactor &Reactor;
  PullListener &Listener;
  const common::Clock &Time;
  std::map<common::Address, ClientTransfer *> Transfers;
  DropCounter Drops;
};

} // namespace acaciacross::peering

#endif
