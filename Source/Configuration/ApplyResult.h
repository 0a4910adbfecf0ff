#ifndef ACACIACROSS_CONFIGURATION_APPLYRESULT_H
#define ACACIACROSS_CONFIGURATION_APPLYRESULT_H

#include "Configuration/ApplyOutcome.h"

#include <string>

namespace acaciacross::configuration {

/// Result of applying a configuration change, with the reason of a rejection.
struct ApplyResult {
  ApplyOutcome Outcome = ApplyOutcome::Accepted;
  /// Why the change was not accepted; empty if it was.
  std::string Message;
};

} // namespace acaciacross::configuration

#endif
