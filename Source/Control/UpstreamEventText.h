#ifndef ACACIACROSS_CONTROL_UPSTREAMEVENTTEXT_H
#define ACACIACROSS_CONTROL_UPSTREAMEVENTTEXT_H

#include "Common/LogEvent.h"
#include "Upstreams/UpstreamEvent.h"

#include <string>

namespace acaciacross::control {

/// Texts that describe an upstream event in the log and in the audit trail.
class UpstreamEventText {
public:
  explicit UpstreamEventText(upstreams::UpstreamEvent DescribedEvent);

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
