#ifndef ACACIACROSS_CONFIGURATION_APPLYRESULT_H
#define ACACIACROSS_CONFIGURATION_APPLYRESULT_H

#include "Configuration/ApplyOutcome.h"

#include <string>

namespace acaciacross::configuration {

struct ApplyResult {
  ApplyOutcome Outcome = ApplyOutcome::Accepted;
  /// Why the change is not in effect; empty when it is.
  std::string Message;
};

} // namespace acaciacross::configuration

#endif
