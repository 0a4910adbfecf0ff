#ifndef ACACIACROSS_FLEET_FLEETAGENT_H
#define ACACIACROSS_FLEET_FLEETAGENT_H

#include "Common/Clock.h"
#include "Common/RandomSource.h"
#include "Fleet/FleetAgentSettings.h"
#include "Fleet/FleetFacts.h"
#include "Fleet/FleetSizeMemory.h"
#include "Fleet/FleetViewListener.h"
#include "Logging/EventLog.h"
#include "Membership/FleetNews.h"
#include "Membership/PauseDetector.h"
#include "Membership/Prober.h"
#include "Peering/DatagramListener.h"
#include "Peering/ProbeSocket.h"
#include "Routing/PlacementRule.h"

#include <ace/Event_Handler.h>

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace acaciacross::fleet {

/// Makes this VM a member of a fleet without documents of its own: probes,
/// acknowledgements and what peers say of each other. Lives on the control
/// thread.
class FleetAgent final : public ACE_Event_Handler,
                         private peering::DatagramListener {
public:
  /// PauseTime finds pauses of this VM. Throws common::Error (SocketFailed).
  FleetAgent(FleetAgentSettings Identity, ACE_Reactor &Events,
             const common::Clock &PauseTime,
             common::RandomSource &RandomNumbers, logging::EventLog &Journal,
             FleetViewListener &Receiver, const FleetFacts &Told,
             routing::PlacementRule &Placing);
  ~FleetAgent() override;
  FleetAgent(const FleetAgent &) = delete;
  FleetAgent &operator=(const FleetAgent &) = delete;

  /// Told to peers from the next message on.
  void setState(membership::ServingState Changed);
  void addSeeds(const std::vector<common::Address> &Seeds);

private:
  int handle_timeout(const ACE_Time_Value &Now, const void *Argument) override;
  void onProbe(const common::Address &From,
               const peering::ProbeMessage &Message) override;
  void onAck(const common::Address &From,
             const peering::ProbeAckMessage &Message) override;

  /// Sends a round of probes now and then once per interval.
  void schedule(std::chrono::milliseconds Interval);
  void endPause(std::chrono::milliseconds Length);
  bool isOwn(const membership::MemberStatus &Sender) const;
  membership::MemberStatus ownStatus() const;
  void prepareRound();
  void applyContent(const common::Address &From,
                    const membership::Heartbeat &Content);
  void record(const std::vector<membership::FleetEvent> &Events,
              const std::string &Cause);
  /// Chooses the VMs that take callers, and has them probed most often.
  void place(FleetView &View, common::MonotonicTime Now);
  void publish();

  FleetAgentSettings Settings;
  const common::Clock &Time;
  logging::EventLog &Log;
  FleetViewListener &Listener;
  const FleetFacts &Facts;
  routing::PlacementRule &Placement;
  /// The set that the log told last.
  std::set<common::VmId> PlacedTold;
  membership::ServingState State = membership::ServingState::Joining;
  membership::FleetTable Fleet;
  membership::AddressHints Hints;
  membership::PauseDetector Pauses;
  membership::UpdateQueue Updates;
  membership::FleetNews News{this->Fleet, this->Hints, this->Updates};
  peering::ProbeSocket Socket;
  membership::Prober Probes;
  membership::Heartbeat Round;
  FleetSizeMemory Size;
  common::MonotonicTime StartedAt;
  /// Set while peers are looked for after the start.
  std::optional<common::MonotonicTime> QuickUntil;
};

} // namespace acaciacross::fleet

#endif
