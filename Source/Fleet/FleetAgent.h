#ifndef ACACIACROSS_FLEET_FLEETAGENT_H
#define ACACIACROSS_FLEET_FLEETAGENT_H

#include "Common/Clock.h"
#include "Common/RandomSource.h"
#include "Fleet/FleetAgentSettings.h"
#include "Fleet/FleetSizeTracker.h"
#include "Fleet/FleetViewListener.h"
#include "Fleet/LocalStatusSource.h"
#include "Logging/EventLog.h"
#include "Membership/EvidenceRelay.h"
#include "Membership/MemberUpdateExchange.h"
#include "Membership/PauseDetector.h"
#include "Membership/Prober.h"
#include "Peering/DatagramListener.h"
#include "Peering/ProbeSocket.h"
#include "Routing/PlacementPolicy.h"

#include <ace/Event_Handler.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acaciacross::fleet {

/// Makes this VM a member of a fleet that has no configuration documents of its
/// own: sends probes and acknowledgements, and handles the member updates of
/// peers. Used on the control thread only.
class FleetAgent final : public ACE_Event_Handler,
                         private peering::DatagramListener {
public:
  /// Time is also used to detect pauses of this VM. Throws common::Error
  /// (SocketFailed).
  FleetAgent(FleetAgentSettings Settings, ACE_Reactor &Events,
             const common::Clock &Time, common::RandomSource &Random,
             logging::EventLog &Log, FleetViewListener &Listener,
             const LocalStatusSource &StatusSource,
             routing::PlacementPolicy &Placement);
  ~FleetAgent() override;
  FleetAgent(const FleetAgent &) = delete;
  FleetAgent &operator=(const FleetAgent &) = delete;

  /// Sets the state that this VM reports to peers from the next message on.
  void setState(membership::ServingState NewState);
  void addSeeds(const std::vector<common::Address> &Seeds);

private:
  int handle_timeout(const ACE_Time_Value &Now, const void *Argument) override;
  void onProbe(const common::Address &From,
               const peering::ProbeMessage &Message) override;
  void onAck(const common::Address &From,
             const peering::ProbeAckMessage &Message) override;
  void onEvidence(const common::Address &From,
                  const peering::EvidenceMessage &Message) override;

  /// Sends a round of probes now and then one per interval.
  void schedule(std::chrono::milliseconds Interval);
  void handlePause(std::chrono::milliseconds PauseLength);
  /// Passes on evidence of the placed VMs to a standby VM of the own failure
  /// domain that sent a probe.
  void relayEvidence(const common::Address &To, std::uint64_t Sequence,
                     const common::VmId &Sender);
  bool isOwn(const membership::MemberStatus &Sender) const;
  membership::MemberStatus ownStatus() const;
  void prepareHeartbeat();
  void applyContent(const common::Address &From,
                    const membership::Heartbeat &Content);
  void handleEvents(const std::vector<membership::FleetEvent> &Events,
                    const std::string &Cause);
  /// Chooses the VMs that take callers and makes the prober prefer them.
  void updatePlacement(FleetView &View, common::MonotonicTime Now);
  void publish();

  FleetAgentSettings Settings;
  const common::Clock &Time;
  logging::EventLog &Log;
  FleetViewListener &Listener;
  const LocalStatusSource &StatusSource;
  routing::PlacementPolicy &Placement;
  std::set<common::VmId> Placed;
  membership::EvidenceRelay Relay;
  /// The set of placed VMs that was logged last.
  std::set<common::VmId> LastLoggedPlacement;
  membership::ServingState State = membership::ServingState::Joining;
  membership::FleetTable Fleet;
  membership::AddressHints Hints;
  membership::PauseDetector Pauses;
  membership::UpdateQueue Updates;
  membership::MemberUpdateExchange UpdateExchange{this->Fleet, this->Hints,
                                                  this->Updates};
  peering::ProbeSocket Socket;
  membership::Prober Probes;
  membership::Heartbeat NextHeartbeat;
  FleetSizeTracker FleetSize;
  common::MonotonicTime StartedAt;
  /// Set during the startup phase, in which probes are sent more often to find
  /// peers.
  std::optional<common::MonotonicTime> StartupUntil;
};

} // namespace acaciacross::fleet

#endif
