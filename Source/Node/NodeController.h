#ifndef ACACIACROSS_NODE_NODECONTROLLER_H
#define ACACIACROSS_NODE_NODECONTROLLER_H

#include "Common/BootClock.h"
#include "Common/SeededRandom.h"
#include "Control/TaskReactor.h"
#include "Discovery/PublishedState.h"
#include "Discovery/StoreListener.h"
#include "Discovery/StoreReadControl.h"
#include "Discovery/StoreReadPolicy.h"
#include "Fleet/FleetAgent.h"
#include "Fleet/PublishedStateExchange.h"
#include "Membership/StopSchedule.h"
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

/// Runs the control thread, which owns this VM's view of the store and the
/// fleet and controls the planned stop.
class NodeController final : public discovery::StoreListener,
                             private fleet::FleetViewListener,
                             private fleet::PublishedStateListener,
                             private fleet::LocalStatusSource {
public:
  /// OnStopped is called on the control thread when a planned stop is complete.
  /// Throws common::Error (SocketFailed). All references must outlive this.
  NodeController(const NodeSettings &Settings, const NodeEncodings &Encodings,
                 const common::Clock &TimeSource, logging::EventLog &Log,
                 TrafficThread &Traffic, std::function<void()> OnStopped);
  ~NodeController() override;
  NodeController(const NodeController &) = delete;
  NodeController &operator=(const NodeController &) = delete;

  /// Starts the thread. ReadControl must outlive it.
  void start(discovery::StoreReadControl &ReadControl);
  /// Ends the thread and waits for it.
  void stop();

  // Thread-safe:
  /// Begins the planned stop; OnStopped reports its end.
  void beginStop();
  void addSeeds(std::vector<common::Address> Seeds);
  void onSnapshot(std::vector<discovery::StoreItem> Items,
                  const discovery::StoreAnswer &Answer) override;
  void onChanges(std::vector<discovery::StoreChange> Changes,
                 const discovery::StoreAnswer &Answer) override;
  void onCallFailed(const std::string &Problem,
                    std::chrono::milliseconds Duration) override;
  void onUnavailable(const std::string &Problem) override;
  void onAvailable() override;
  void onHistoryLost() override;
  void onInvalidEra(const std::string &Text) override;

private:
  void onFleetView(const fleet::FleetView &View) override;
  void onPeerAcknowledged(const common::Address &Peer,
                          const membership::MemberStatus &Status,
                          common::MonotonicTime SentAt) override;
  void onPublishedStateChanged() override;
  common::StorePosition knownPosition() const override;
  std::chrono::milliseconds answerAge() const override;
  unsigned busyPerMille() const override;
  /// Handles what an answer of the store says beside its content. Newest: the
  /// latest position in its content.
  void recordAnswer(const discovery::StoreAnswer &Answer, const char *Call,
                    std::size_t Changes, common::StorePosition Newest);
  /// Whether this VM is elected to read the store for the fleet.
  bool isElected(const fleet::FleetView &View) const;
  void tick();
  void advanceStop();
  /// Passes the published state to the traffic thread when it has changed since
  /// the last call.
  void publish();

  const common::Clock &Time;
  logging::EventLog &Log;
  TrafficThread &Traffic;
  std::function<void()> OnStopped;
  std::chrono::milliseconds KillAfter;
  common::BootClock BootTime;
  common::SeededRandom Random;
  control::TaskReactor Reactor;
  discovery::PublishedState Published;
  discovery::StoreReadPolicy ReadPolicy;
  fleet::PublishedStateExchange Exchange;
  routing::LoadPlacement Placement;
  net::BusyMeter Busy;
  fleet::FleetAgent Agent;
  discovery::StoreReadControl *ReadControl = nullptr;
  bool IsReading = true;
  membership::StopSequence StopSequence;
  membership::StopSchedule StopSchedule;
  std::uint64_t PublishedChanges = 0;
  bool IsServing = false;
  bool IsStopReported = false;
  std::thread Worker;
};

} // namespace acaciacross::node

#endif
