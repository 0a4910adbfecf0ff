#ifndef ACACIACROSS_CONFIGURATION_ENTRYSETTINGS_H
#define ACACIACROSS_CONFIGURATION_ENTRYSETTINGS_H

#include "Common/Address.h"
#include "Common/Identifiers.h"

#include <string>
#include <vector>

namespace acaciacross::configuration {

/// Settings of one entry VM, fixed for the lifetime of the process.
struct EntrySettings {
  common::VmId Vm;
  std::string Zone;
  std::string FailureDomain;

  /// Address of the HTTP server for callers and operators. Callers receive it
  /// in address answers.
  common::Address CallerAddress;
  /// Address for UDP probes and TCP transfers of peers; both use the same port
  /// number.
  common::Address PeerAddress;

  common::Address ConfigurationServiceAddress;
  common::Address VmListAddress;

  /// Peer addresses that are used in addition to the VM list.
  std::vector<common::Address> SeedAddresses;
};

} // namespace acaciacross::configuration

#endif
