#include "Programs/EntryNode/EntryNode.h"

#include "Common/Log.h"
#include "Membership/StopSequence.h"

#include <chrono>
#include <memory>
#include <thread>

namespace acaciacross::entry {

namespace {

constexpr std::chrono::milliseconds LingerCheckPeriod{100};

// Equals the longest deadline that callers may set.
constexpr std::chrono::minutes MaxRequestDuration{10};

// Short, because responses to aborted requests are small or already being sent.
constexpr std::chrono::seconds AbortedResponseTimeout{5};

traffic::RouterSettings
makeRouterSettings(const configuration::EntrySettings &Settings,
                   common::Incarnation Incarnation, const common::Clock &Clock,
                   common::RandomSource &Random) {
  traffic::RouterSettings Result;
  Result.Identity.Vm = Settings.Vm;
  Result.Identity.CallerAddress = Settings.CallerAddress;
  Result.Identity.Issuer = Incarnation;
  Result.Identity.StartedAt = Clock.monotonicNow();
  Result.Identity.Secret = Random.next();
  Result.RandomSeed = Random.next();
  return Result;
}

frontend::CallerServerSettings
makeServerSettings(const configuration::EntrySettings &Settings) {
  frontend::CallerServerSettings Result;
  Result.ListenAddress = Settings.CallerAddress;
  return Result;
}

} // namespace

EntryNode::EntryNode(const configuration::EntrySettings &Settings)
    : Random(common::SeededRandom::fromSystem()),
      Incarnation(this->Random.next()),
      Control(std::make_unique<control::ControlState>(Settings, this->Clock),
              this->Clock),
      Router(makeRouterSettings(Settings, this->Incarnation, this->Clock,
                                this->Random),
             this->Clock, this->Control),
      Audit(this->Control),
      Dispatcher(Settings.Vm, this->Incarnation, this->Router, this->Audit,
                 this->Clock, this->Random),
      Watcher(Settings.ConfigurationServiceAddress, this->Control,
              common::SeededRandom::fromSystem()),
      Role(this->Watcher), FleetRandom(common::SeededRandom::fromSystem()),
      Fleet(this->Control.state(), this->Incarnation, this->Control.reactor(),
            this->Clock, this->FleetRandom, this->Role),
      Poller(Settings.VmListAddress, this->Control,
             common::SeededRandom::fromSystem()),
      Server(makeServerSettings(Settings), this->Dispatcher, this->Clock) {
  this->Control.addListener(this->Router);
  this->Control.start();
  this->Watcher.start();
  this->Poller.start();
  common::logEvent(common::LogEvent::ProcessStarted,
                   "vm=" + Settings.Vm.Value + " incarnation=" +
                       std::to_string(this->Incarnation.Value) +
                       " callers=" + Settings.CallerAddress.toString());
}

EntryNode::~EntryNode() { this->shutDown(); }

void EntryNode::stopGracefully() {
  common::logEvent(common::LogEvent::ProcessStopping, "reason=signal");
  this->Control.post(
      [](control::ControlState &State) { State.startLeaving(); });
  this->Server.startLeaving();
  this->linger();
  this->Server.closePort();
  this->Server.closeConnections(MaxRequestDuration);
  this->shutDown();
}

void EntryNode::linger() {
  membership::StopSequence Sequence;
  Sequence.begin(this->Clock.monotonicNow());
  while (Sequence.advance(this->Clock.monotonicNow(), true) ==
         membership::StopPhase::Lingering)
    std::this_thread::sleep_for(LingerCheckPeriod);
}

// Requests on the server wait for the router and the control thread, so these
// must answer them before the server can close its connections.
void EntryNode::shutDown() {
  if (this->IsShutDown)
    return;
  this->IsShutDown = true;
  this->Server.closePort();
  this->Router.stop(std::chrono::milliseconds::zero());
  this->Server.waitUntilIdle(AbortedResponseTimeout);
  this->Server.stop();
  this->Watcher.stop();
  this->Poller.stop();
  this->Control.stop();
  common::logEvent(common::LogEvent::ProcessStopped, "");
}

} // namespace acaciacross::entry
