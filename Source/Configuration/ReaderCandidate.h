#ifndef ACACIACROSS_CONFIGURATION_READERCANDIDATE_H
#define ACACIACROSS_CONFIGURATION_READERCANDIDATE_H

#include "Common/Identifiers.h"
#include "Membership/ServingState.h"

#include <string>

namespace acaciacross::configuration {

/// A live entry VM that may watch the configuration service.
struct ReaderCandidate {
  common::VmId Vm;
  std::string FailureDomain;
  membership::ServingState State = membership::ServingState::Joining;
};

} // namespace acaciacross::configuration

#endif
