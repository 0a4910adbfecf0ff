#ifndef ACACIACROSS_PLATFORM_VMLISTDECODER_H
#define ACACIACROSS_PLATFORM_VMLISTDECODER_H

#include "Control/VmListEntry.h"

#include <string>
#include <vector>

namespace acaciacross::platform {

/// Decodes answers to GET /v1/vms.
class VmListDecoder {
public:
  /// Omits VMs of a kind or state that this version does not know, and VMs
  /// without an id or a valid address. Throws PlatformError when the body is
  /// not a valid list.
  static std::vector<control::VmListEntry> decode(const std::string &Body);
};

} // namespace acaciacross::platform

#endif
