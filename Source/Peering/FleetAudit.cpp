#include "Peering/FleetAudit.h"

#include "Common/Log.h"

namespace acaciacross::peering {

namespace {

using common::LogEvent;
using membership::FleetEventKind;

LogEvent logEventOf(FleetEventKind Kind) {
  switch (Kind) {
  case FleetEventKind::Joined:
    return LogEvent::PeerJoined;
  case FleetEventKind::Leaving:
    return LogEvent::PeerLeaving;
  case FleetEventKind::Lost:
    return LogEvent::PeerLost;
  case FleetEventKind::Restarted:
    return LogEvent::PeerRestarted;
  case FleetEventKind::DuplicateId:
    return LogEvent::VmIdDuplicate;
  }
  return LogEvent::PeerLost;
}

const char *textOf(FleetEventKind Kind) {
  switch (Kind) {
  case FleetEventKind::Joined:
    return "joined";
  case FleetEventKind::Leaving:
    return "leaving";
  case FleetEventKind::Lost:
    return "lost";
  case FleetEventKind::Restarted:
    return "restarted";
  case FleetEventKind::DuplicateId:
    return "another live VM has this id";
  }
  return "";
}

} // namespace

FleetAudit::FleetAudit(control::ControlState &State) : State(State) {}

void FleetAudit::record(const membership::FleetEvent &Event,
                        const std::string &Cause) {
  this->State.recordAudit(Cause, Event.Vm.Value, textOf(Event.Kind));
  const std::string Details =
      "vm=" + Event.Vm.Value +
      " incarnation=" + std::to_string(Event.Incarnation.Value) + " cause=\"" +
      Cause + "\"";
  const bool IsWarning = Event.Kind == FleetEventKind::Lost ||
                         Event.Kind == FleetEventKind::DuplicateId;
  if (IsWarning)
    common::logWarning(logEventOf(Event.Kind), Details);
  else
    common::logEvent(logEventOf(Event.Kind), Details);
}

} // namespace acaciacross::peering
