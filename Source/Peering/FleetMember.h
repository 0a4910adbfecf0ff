#ifndef ACACIACROSS_PEERING_FLEETMEMBER_H
#define ACACIACROSS_PEERING_FLEETMEMBER_H

#include "Common/Clock.h"
#include "Common/RandomSource.h"
#include "Configuration/FallbackReadSchedule.h"
#include "Control/ControlState.h"
#include "Membership/DrainNoticeQueue.h"
#include "Membership/MemberUpdateExchange.h"
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

/// Makes this VM a member of the fleet. Runs on the control thread; must be
/// created before that thread starts and destroyed after it has stopped.
class FleetMember final : public ACE_Event_Handler, private DatagramListener {
public:
  /// Throws common::Error (SocketFailed). All references must outlive this
  /// object.
  FleetMember(control::ControlState &State, common::Incarnation Incarnation,
              ACE_Reactor &Reactor, const common::Clock &Time,
              common::RandomSource &Random, ReaderRole &Role);
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
  /// Discards messages and evidence from before the end of a pause.
  void handlePauseEnd(std::chrono::milliseconds Length);
  /// Adds the entry VMs of the VM list to the address hints.
  void addListedVms(common::MonotonicTime Now);
  membership::MemberStatus ownStatus() const;
  bool isOwn(const membership::MemberStatus &Sender) const;
  void prepareRound();
  void applyContent(const common::Address &From,
                    const membership::Heartbeat &Content);
  void record(const std::vector<membership::FleetEvent> &Events,
              const std::string &Cause);
  void publishPeers(common::MonotonicTime Now);
  /// Reads the configuration service when no elected reader does.
  void readWhenDue(common::MonotonicTime Now);
  void electReaders(common::MonotonicTime Now);

  control::ControlState &State;
  const common::Clock &Time;
  ReaderRole &Role;
  common::Incarnation Incarnation;
  membership::FleetTable Fleet;
  membership::AddressHints Hints;
  membership::PauseDetector Pauses;
  membership::UpdateQueue Updates;
  membership::MemberUpdateExchange UpdateExchange{this->Fleet, this->Hints,
                                                  this->Updates};
  membership::DrainNoticeQueue Drains;
  FleetAudit Audit;
  configuration::FallbackReadSchedule Schedule;
  ConfigurationSync Sync;
  ProbeSocket Socket;
  TransferServer Server;
  membership::Prober Probes;
  /// Content of the probes and acknowledgements of this round.
  membership::Heartbeat RoundContent;
  common::MonotonicTime NextVmListAt;
  common::MonotonicTime NextElectionAt;
  bool IsReader = false;
};

} // namespace acaciacross::peering

#endif
