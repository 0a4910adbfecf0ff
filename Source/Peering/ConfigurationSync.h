#ifndef ACACIACROSS_PEERING_CONFIGURATIONSYNC_H
#define ACACIACROSS_PEERING_CONFIGURATIONSYNC_H

#include "Common/Clock.h"
#include "Control/ControlState.h"
#include "Membership/MemberStatus.h"
#include "Peering/ConfigurationSource.h"
#include "Peering/PullListener.h"
#include "Peering/PullMemory.h"
#include "Peering/TransferClient.h"

#include <cstdint>
#include <map>

class ACE_Reactor;

namespace acaciacross::peering {

/// Keeps the configuration of this VM level with that of its peers.
class ConfigurationSync final : public ConfigurationSource,
                                public PullListener {
public:
  /// All arguments must outlive this.
  ConfigurationSync(control::ControlState &Target, ACE_Reactor &Events,
                    const common::Clock &TimeSource);

  /// A peer acknowledged a probe; pulls when it has something else.
  void onStatus(const common::Address &From,
                const membership::MemberStatus &Status);

  /// Notes what is in effect now; call every tick.
  void refresh();

  /// Equal on VMs that hold the same revision of every key.
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
  std::map<common::Address, PullMemory> Memories;
  bool Pulling = false;
  // Last, because it calls this object until it is gone.
  TransferClient Client;
};

} // namespace acaciacross::peering

#endif
