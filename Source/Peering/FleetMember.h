#ifndef ACACIACROSS_PEERING_FLEETMEMBER_H
#define ACACIACROSS_PEERING_FLEETMEMBER_H

#include "Common/Clock.h"
#include "Common/RandomSource.h"
#include "Configuration/ReadSchedule.h"
#include "Control/ControlState.h"
#include "Membership/DrainSpread.h"
#include "Membership/FleetNews.h"
#include "Membership/PauseDetector.h"
#include "Membership/Prober.h"
#include "Peering/ConfigurationSync.h"
#include "Peering/FleetAudit.h"
#include "Peering/ProbeSocket.h"
#include "Peering/ReaderRole.h"
#include "Peering/TransferServer.h"

#include <ace/Event_Handler.h>
#include <string>
#include <vector>

namespace acaciacross::peering {

/// Makes this VM a member of the fleet. Lives on the control thread: created
/// before it starts and destroyed after it has stopped.
class FleetMember final : public ACE_Event_Handler, private DatagramListener {
public:
  /// Throws common::Error (SocketFailed). All references must outlive this.
  FleetMember(control::ControlState &Target, common::Incarnation OwnRun,
              ACE_Reactor &Events, const common::Clock &TimeSource,
              common::RandomSource &RandomNumbers, ReaderRole &Watcher);
  ~FleetMember() override;
  FleetMember(const FleetMember &) = delete;
  FleetMember &operator=(const FleetMember &) = delete;

  const membership::FleetTable &fleet() const;
  const ProbeSocket &socket() const;

private:
  int handle_timeout(const ACE_Time_Value &Now, const void *Argument) override;
  void onProbe(const common::Address &From,
               const ProbeMessage &Message) override;
  void onAck(const common::Address &From,
             const ProbeAckMessage &Message) override;

  void tick(common::MonotonicTime Now);
  /// Drops what is older than the end of a pause.
  void endPause(std::chrono::milliseconds Length);
  void mentionListedVms(common::MonotonicTime Now);
  membership::MemberStatus ownStatus() const;
  bool isOwn(const membership::MemberStatus &Sender) const;
  void prepareRound();
  void applyContent(const common::Address &From,
                    const membership::Heartbeat &Content);
  void record(const std::vector<membership::FleetEvent> &Events,
              const std::string &Cause);
  void publishPeers(common::MonotonicTime Now);
  /// Reads the configuration service when the elected readers do not.
  void readWhenDue(common::MonotonicTime Now);
  void electReaders(common::MonotonicTime Now);

  control::ControlState &State;
  const common::Clock &Time;
  ReaderRole &Role;
  common::Incarnation Run;
  membership::FleetTable Fleet;
  membership::AddressHints Hints;
  membership::PauseDetector Pauses;
  membership::UpdateQueue Updates;
  membership::FleetNews News{this->Fleet, this->Hints, this->Updates};
  membership::DrainSpread Drains;
  FleetAudit Audit;
  configuration::ReadSchedule Reads;
  ConfigurationSync Sync;
  ProbeSocket Socket;
  TransferServer Server;
  membership::Prober Probes;
  /// What the probes and acknowledgements of this round carry.
  membership::Heartbeat Round;
  common::MonotonicTime NextMentionAt;
  common::MonotonicTime NextElectionAt;
  bool IsReader = false;
};

} // namespace acaciacross::peering

#endif
