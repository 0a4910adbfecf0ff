#ifndef ACACIACROSS_CONTROL_VMLISTENTRY_H
#define ACACIACROSS_CONTROL_VMLISTENTRY_H

#include "Common/Address.h"
#include "Control/VmKind.h"
#include "Control/VmState.h"

#include <string>

namespace acaciacross::control {

/// One VM in the platform's VM list, which may be a minute old.
struct VmListEntry {
  /// A VmId or a SearcherId, depending on Kind.
  std::string Id;
  VmKind Kind = VmKind::Entry;
  /// Peer address of an entry VM, HTTP address of an upstream.
  common::Address Endpoint;
  VmState State = VmState::Live;

  auto operator<=>(const VmListEntry &) const = default;
};

} // namespace acaciacross::control

#endif
