#ifndef ACACIACROSS_ROUTING_ADDRESSCANDIDATE_H
#define ACACIACROSS_ROUTING_ADDRESSCANDIDATE_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Common/Time.h"

#include <string>

namespace acaciacross::routing {

/// An entry VM that address answers may name.
struct AddressCandidate {
  common::VmId Vm;
  common::Address Callers;
  std::string FailureDomain;
  /// When the probe was sent whose acknowledgement said "serving".
  common::MonotonicTime EvidenceAt;
  /// False for a VM that stands by.
  bool IsPlaced = true;
};

} // namespace acaciacross::routing

#endif
