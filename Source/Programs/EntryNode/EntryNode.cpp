#include "Programs/EntryNode/EntryNode.h"

#include "Common/Log.h"
#include "Membership/StopSequence.h"

#include <chrono>
#include <memory>
#include <thread>

namespace acaciacross::entry {

namespace {

constexpr std::chrono::milliseconds LingerCheckPeriod{100};

// The longest deadline that callers may set.
constexpr std::chrono::minutes LongestRequest{10};

// Responses to aborted requests are small or on their way already.
constexpr std::chrono::seconds AbortedResponses{5};

traffic::RouterSettings
makeRouterSettings(const configuration::EntrySettings &Settings,
                   common::Incarnation Run, const common::Clock &Time,
                   common::RandomSource &Random) {
  traffic::RouterSettings Chosen;
  Chosen.Identity.Vm = Settings.Vm;
  Chosen.Identity.Callers = Settings.Callers;
  Chosen.Identity.Issuer = Run;
  Chosen.Identity.StartedAt = Time.monotonicNow();
  Chosen.Identity.Secret = Random.next();
  Chosen.RandomSeed = Random.next();
  return Chosen;
}

frontend::CallerServerSettings
makeServerSettings(const configuration::EntrySettings &Settings) {
  frontend::CallerServerSettings Chosen;
  Chosen.ListenAddress = Settings.Callers;
  return Chosen;
}

} // namespace

EntryNode::EntryNode(const configuration::EntrySettings &Settings)
    : Random(common::SeededRandom::fromSystem()), Run(this->Random.next()),
      Control(std::make_unique<control::ControlState>(Settings, this->Time),
              this->Time),
      Router(makeRouterSettings(Settings, this->Run, this->Time, this->Random),
             this->Time, this->Control),
      Audit(this->Control), Calls(Settings.Vm, this->Run, this->Router,
                                  this->Audit, this->Time, this->Random),
      Watcher(Settings.ConfigurationService, this->Control,
              common::SeededRandom::fromSystem()),
      Role(this->Watcher), FleetRandom(common::SeededRandom::fromSystem()),
      Fleet(this->Control.state(), this->Run, this->Control.reactor(),
            this->Time, this->FleetRandom, this->Role),
      Poller(Settings.VmList, this->Control,
             common::SeededRandom::fromSystem()),
      Server(makeServerSettings(Settings), this->Calls, this->Time) {
  this->Control.addListener(this->Router);
  this->Control.start();
  this->Watcher.start();
  this->Poller.start();
  common::logEvent(common::LogEvent::ProcessStarted,
                   "vm=" + Settings.Vm.Value +
                       " incarnation=" + std::to_string(this->Run.Value) +
                       " callers=" + Settings.Callers.toString());
}

EntryNode::~EntryNode() { this->shutDown(); }

void EntryNode::stopGracefully() {
  common::logEvent(common::LogEvent::ProcessStopping, "reason=signal");
  this->Control.post(
      [](control::ControlState &State) { State.startLeaving(); });
  this->Server.startLeaving();
  this->linger();
  this->Server.closePort();
  this->Server.closeConnections(LongestRequest);
  this->shutDown();
}

void EntryNode::linger() {
  membership::StopSequence Sequence;
  Sequence.begin(this->Time.monotonicNow());
  while (Sequence.advance(this->Time.monotonicNow(), 1) ==
         membership::StopPhase::Lingering)
    std::this_thread::sleep_for(LingerCheckPeriod);
}

// Calls of the server wait for the router and the control thread, so that these
// have to answer before the server can close its connections.
void EntryNode::shutDown() {
  if (this->IsShutDown)
    return;
  this->IsShutDown = true;
  this->Server.closePort();
  this->Router.stop(std::chrono::milliseconds::zero());
  this->Server.waitUntilIdle(AbortedResponses);
  this->Server.stop();
  this->Watcher.stop();
  this->Poller.stop();
  this->Control.stop();
  common::logEvent(common::LogEvent::ProcessStopped, "");
}

} // namespace acaciacross::entry
