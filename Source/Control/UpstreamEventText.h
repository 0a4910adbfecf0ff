#ifndef ACACIACROSS_CONTROL_UPSTREAMEVENTTEXT_H
#define ACACIACROSS_CONTROL_UPSTREAMEVENTTEXT_H

#include "Common/LogEvent.h"
#include "Upstreams/UpstreamEvent.h"

#include <string>

namespace acaciacross::control {

/// How a change of a searcher reads in the log and in the audit trail.
class UpstreamEventText {
public:
  explicit UpstreamEventText(upstreams::UpstreamEvent Described);

  common::LogEvent logEvent() const;
  bool isWarning() const;
  std::string text() const;
  std::string cause() const;
  std::string details() const;

private:
  upstreams::UpstreamEvent Event;
};

} // namespace acaciacross::control

#endif
