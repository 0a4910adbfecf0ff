#ifndef ACACIACROSS_PROGRAMS_ENTRYNODE_ENTRYNODE_H
#define ACACIACROSS_PROGRAMS_ENTRYNODE_ENTRYNODE_H

#include "Common/SeededRandom.h"
#include "Common/SystemClock.h"
#include "Configuration/EntrySettings.h"
#include "Control/ControlThread.h"
#include "Frontend/CallDispatcher.h"
#include "Frontend/CallerServer.h"
#include "Peering/FleetMember.h"
#include "Platform/ConfigurationWatcher.h"
#include "Platform/VmListPoller.h"
#include "Programs/EntryNode/ControlAuditSource.h"
#include "Programs/EntryNode/WatcherRole.h"
#include "Traffic/TrafficRouter.h"

namespace acaciacross::entry {

/// Owns all parts of the process of an entry VM and connects them.
class EntryNode {
public:
  /// Opens the ports. Throws common::Error when that fails.
  explicit EntryNode(const configuration::EntrySettings &Settings);
  ~EntryNode();

  EntryNode(const EntryNode &) = delete;
  EntryNode &operator=(const EntryNode &) = delete;

  /// Planned stop. Announces that this VM leaves, serves until callers have
  /// other addresses, closes the port, and returns when all requests have
  /// ended.
  void stopGracefully();

private:
  void linger();
  void shutDown();

  common::SystemClock Clock;
  common::SeededRandom Random;
  /// Incarnation of this process, used in probes, tickets and attempts.
  common::Incarnation Incarnation;
  control::ControlThread Control;
  traffic::TrafficRouter Router;
  ControlAuditSource Audit;
  frontend::CallDispatcher Dispatcher;
  platform::ConfigurationWatcher Watcher;
  WatcherRole Role;
  /// Used on the control thread only.
  common::SeededRandom FleetRandom;
  peering::FleetMember Fleet;
  platform::VmListPoller Poller;
  frontend::CallerServer Server;
  bool IsShutDown = false;
};

} // namespace acaciacross::entry

#endif
