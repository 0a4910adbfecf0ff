#ifndef ACACIACROSS_PEERING_CONFIGURATIONSYNC_H
#define ACACIACROSS_PEERING_CONFIGURATIONSYNC_H

#include "Common/Clock.h"
#include "Control/ControlState.h"
#include "Membership/MemberStatus.h"
#include "Peering/ConfigurationSource.h"
#include "Peering/PeerPullState.h"
#include "Peering/PullListener.h"
#include "Peering/PullSchedule.h"
#include "Peering/TransferClient.h"

#include <cstdint>
#include <map>

class ACE_Reactor;

namespace acaciacross::peering {

/// Keeps the configuration of this VM in sync with that of its peers.
class ConfigurationSync final : public ConfigurationSource,
                                public PullListener {
public:
  /// All arguments must outlive this object.
  ConfigurationSync(control::ControlState &State, ACE_Reactor &Reactor,
                    const common::Clock &Time);

  /// Called when a peer has acknowledged a probe; pulls when the configuration
  /// of the peer differs.
  void onStatus(const common::Address &From,
                const membership::MemberStatus &Status);

  /// Updates the digest and the revision from the configuration in effect. Must
  /// be called at every tick.
  void refresh();

  /// Digest that is equal on VMs that hold the same revision of every key.
  std::uint64_t digest() const;

private:
  ConfigurationChangesMessage
  changesFor(const ConfigurationPullMessage &Pull) override;
  void onChanges(const common::Address &From,
                 const ConfigurationChangesMessage &Message) override;
  void onPullFailed(const common::Address &From) override;

  void pullWhenDue(const common::Address &From,
                   const membership::MemberStatus &Status);

  control::ControlState &State;
  const common::Clock &Time;
  std::uint64_t OwnDigest = 0;
  common::Revision OwnRevision;
  std::map<common::Address, PeerPullState> PullStates;
  PullSchedule Pulls;
  // Declared last and so destroyed first, because it calls this object as long
  // as it exists.
  TransferClient Client;
};

} // namespace acaciacross::peering

#endif
