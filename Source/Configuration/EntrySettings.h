#ifndef ACACIACROSS_CONFIGURATION_ENTRYSETTINGS_H
#define ACACIACROSS_CONFIGURATION_ENTRYSETTINGS_H

#include "Common/Address.h"
#include "Common/Identifiers.h"

#include <string>
#include <vector>

namespace acaciacross::configuration {

/// Settings of one entry VM, fixed for the life of the process.
struct EntrySettings {
  common::VmId Vm;
  std::string Zone;
  std::string FailureDomain;

  /// HTTP for callers and operators; also given to callers in address answers.
  common::Address Callers;
  /// UDP probes and TCP transfers, the same number.
  common::Address Peers;

  common::Address ConfigurationService;
  common::Address VmList;

  /// Peer addresses used beside the VM list.
  std::vector<common::Address> Seeds;
};

} // namespace acaciacross::configuration

#endif
