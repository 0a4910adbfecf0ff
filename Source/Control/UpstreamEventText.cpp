#include "Control/UpstreamEventText.h"

namespace acaciacross::control {

using upstreams::UpstreamEventKind;

UpstreamEventText::UpstreamEventText(upstreams::UpstreamEvent DescribedEvent)
    : Event(std::move(DescribedEvent)) {}

common::LogEvent UpstreamEventText::logEvent() const {
  switch (this->Event.Kind) {
  case UpstreamEventKind::Ejected:
    return common::LogEvent::SearcherEjected;
  case UpstreamEventKind::Restored:
    return common::LogEvent::SearcherRestored;
  case UpstreamEventKind::Returned:
    return common::LogEvent::SearcherReturned;
  case UpstreamEventKind::Leaving:
    return common::LogEvent::SearcherLeaving;
  case UpstreamEventKind::Warming:
    return common::LogEvent::SearcherWarming;
  case UpstreamEventKind::EjectionSuppressed:
    return common::LogEvent::EjectionSuppressed;
  }
  return common::LogEvent::EjectionSuppressed;
}

bool UpstreamEventText::isWarning() const {
  return this->Event.Kind == UpstreamEventKind::Ejected ||
         this->Event.Kind == UpstreamEventKind::EjectionSuppressed;
}

std::string UpstreamEventText::text() const {
  switch (this->Event.Kind) {
  case UpstreamEventKind::Ejected:
    return "ejected";
  case UpstreamEventKind::Restored:
    return "restored after ejection";
  case UpstreamEventKind::Returned:
    return "back as a new process";
  case UpstreamEventKind::Leaving:
    return "leaving";
  case UpstreamEventKind::Warming:
    return "slow start";
  case UpstreamEventKind::EjectionSuppressed:
    return "not ejected";
  }
  return "";
}

std::string UpstreamEventText::cause() const { return this->Event.Cause; }

std::string UpstreamEventText::details() const {
  return "searcher=" + this->Event.Id.Value + " cause=\"" + this->Event.Cause +
         "\"";
}

} // namespace acaciacross::control
