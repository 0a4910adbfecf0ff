#ifndef ACACIACROSS_FLEET_PUBLISHEDSTATEEXCHANGE_H
#define ACACIACROSS_FLEET_PUBLISHEDSTATEEXCHANGE_H

#include "Common/Clock.h"
#include "Common/StorePosition.h"
#include "Discovery/PublishedState.h"
#include "Fleet/PublishedStateListener.h"
#include "Logging/EventLog.h"
#include "Membership/MemberStatus.h"
#include "Peering/ConfigurationSource.h"
#include "Peering/PullListener.h"
#include "Peering/PullSchedule.h"
#include "Peering/TransferClient.h"
#include "Peering/TransferServer.h"

#include <vector>

namespace acaciacross::fleet {

/// Exchanges the published state with peers: answers their pulls, and pulls
/// from peers that know a later position. Used on the control thread only.
class PublishedStateExchange final : private peering::ConfigurationSource,
                                     private peering::PullListener {
public:
  /// Throws common::Error (SocketFailed). All references must outlive this
  /// object.
  PublishedStateExchange(const common::Address &Local, ACE_Reactor &Events,
                         const common::Clock &Time,
                         discovery::PublishedState &Published,
                         PublishedStateListener &Listener,
                         logging::EventLog &Log);

  /// Handles the status of a peer; pulls from it if its position is later.
  void onPeerStatus(const common::Address &Peer,
                    const membership::MemberStatus &Status);

private:
  peering::ConfigurationChangesMessage
  changesFor(const peering::ConfigurationPullMessage &Pull) override;
  void onChanges(const common::Address &From,
                 const peering::ConfigurationChangesMessage &Message) override;
  void onPullFailed(const common::Address &From) override;

  const common::Clock &Time;
  discovery::PublishedState &Published;
  PublishedStateListener &Listener;
  logging::EventLog &Log;
  peering::TransferServer Server;
  peering::TransferClient Client;
  peering::PullSchedule Pulls;
  /// The first later position that this VM heard of, and when.
  common::StorePosition HeardPosition;
  common::MonotonicTime HeardAt;
};

} // namespace acaciacross::fleet

#endif
