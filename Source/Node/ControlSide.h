#ifndef ACACIACROSS_NODE_CONTROLSIDE_H
#define ACACIACROSS_NODE_CONTROLSIDE_H

#include "Common/BootClock.h"
#include "Common/SeededRandom.h"
#include "Control/TaskReactor.h"
#include "Discovery/PublishedState.h"
#include "Discovery/ReadingDuty.h"
#include "Discovery/StoreListener.h"
#include "Discovery/StoreSwitch.h"
#include "Fleet/ChangeRelay.h"
#include "Fleet/FleetAgent.h"
#include "Membership/StopSequence.h"
#include "Net/BusyMeter.h"
#include "Node/NodeEncodings.h"
#include "Node/NodeSettings.h"
#include "Node/TrafficThread.h"
#include "Routing/LoadPlacement.h"

#include <cstdint>
#include <functional>
#include <thread>

namespace acaciacross::node {

/// The thread that owns what this VM believes of the store and the fleet, and
/// the planned stop.
class ControlSide final : public discovery::StoreListener,
                          private fleet::FleetViewListener,
                          private fleet::FleetFacts {
public:
  /// OnStopped is called on the control thread when a planned stop is complete.
  /// Throws common::Error (SocketFailed). All references must outlive this.
  ControlSide(const NodeSettings &Settings, const NodeEncodings &Encodings,
              const common::Clock &TimeSource, logging::EventLog &Journal,
              TrafficThread &Served, std::function<void()> OnStopped);
  ~ControlSide() override;
  ControlSide(const ControlSide &) = delete;
  ControlSide &operator=(const ControlSide &) = delete;

  /// Store must outlive the thread.
  void start(discovery::StoreSwitch &Store);
  void stop();

  // Thread-safe:
  void beginStop();
  void addSeeds(std::vector<common::Address> Seeds);
  void onSnapshot(std::vector<discovery::StoreItem> Items,
                  std::uint64_t Revision) override;
  void onChanges(std::vector<discovery::StoreChange> Changes,
                 std::uint64_t Revision) override;
  void onAnswered() override;
  void onCallFailed(const std::string &Problem,
                    std::chrono::milliseconds Duration) override;
  void onUnavailable(const std::string &Problem) override;
  void onAvailable() override;
  void onHistoryLost() override;

private:
  void onFleet(const fleet::FleetView &View) override;
  void onPeer(const common::Address &Peer,
              const membership::MemberStatus &Status,
              common::MonotonicTime SentAt) override;
  std::uint64_t knownRevision() const override;
  std::chrono::milliseconds answerAge() const override;
  unsigned busyPerMille() const override;
  /// Whether this VM is one of those that read the store for the fleet.
  bool isElected(const fleet::FleetView &View) const;
  void tick();
  void advanceStop();
  /// Passes on what has changed since the last call.
  void publish();

  const common::Clock &Time;
  logging::EventLog &Log;
  TrafficThread &Traffic;
  std::function<void()> Stopped;
  std::chrono::milliseconds StopLimit;
  common::BootClock PauseTime;
  common::SeededRandom Random;
  control::TaskReactor Reactor;
  discovery::PublishedState Published;
  discovery::ReadingDuty Duty;
  fleet::ChangeRelay Relay;
  routing::LoadPlacement Placement;
  net::BusyMeter Busy;
  fleet::FleetAgent Agent;
  discovery::StoreSwitch *Reading = nullptr;
  bool IsReading = true;
  membership::StopSequence Sequence;
  common::MonotonicTime StopBeganAt;
  std::uint64_t PublishedChanges = 0;
  bool IsServing = false;
  bool IsOver = false;
  std::thread Worker;
};

} // namespace acaciacross::node

#endif
