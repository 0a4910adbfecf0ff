#ifndef ACACIACROSS_ROUTING_ADDRESSCANDIDATE_H
#define ACACIACROSS_ROUTING_ADDRESSCANDIDATE_H

#include "Common/Address.h"
#include "Common/Identifiers.h"
#include "Common/Time.h"

#include <string>

namespace acaciacross::routing {

/// An entry VM that may be listed in address answers.
struct AddressCandidate {
  common::VmId Vm;
  common::Address CallerAddress;
  std::string FailureDomain;
  /// When the newest probe was sent that the VM acknowledged as "serving".
  common::MonotonicTime EvidenceAt;
  /// Share of about the last second in which its traffic thread was not
  /// waiting, in thousandths.
  unsigned BusyPerMille = 0;
  /// False for a standby VM.
  bool IsPlaced = true;
};

} // namespace acaciacross::routing

#endif
