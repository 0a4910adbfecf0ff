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
  /// All arguments must outlive this.
  TransferClient(ACE_Reactor &EventSource, PullListener &Receiver,
                 const common::Clock &TimeSource);
  ~TransferClient();
  TransferClient(const TransferClient &) = delete;
  TransferClient &operator=(const TransferClient &) = delete;

  /// Starts a pull; false, without a call of the listener, when one from that
  /// peer is running, too many are running, or no connection can be started.
  bool pull(const common::Address &From,
            const ConfigurationPullMessage &Request);

private:
  friend class ClientTransfer;

  /// Takes a reply; false when it is malformed.
  bool take(const common::Address &From, const std::string &Reply);
  void finish(const common::Address &From, bool IsComplete);

  ACE_Reactor &Events;
  PullListener &Listener;
  const common::Clock &Time;
  std::map<common::Address, ClientTransfer *> Transfers;
  DropCounter Drops;
};

} // namespace acaciacross::peering

#endif
