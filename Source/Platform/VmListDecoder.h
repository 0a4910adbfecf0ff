#ifndef ACACIACROSS_PLATFORM_VMLISTDECODER_H
#define ACACIACROSS_PLATFORM_VMLISTDECODER_H

#include "Control/VmListEntry.h"

#include <string>
#include <vector>

namespace acaciacross::platform {

/// Reads answers to GET /v1/vms.
class VmListDecoder {
public:
  /// VMs of a kind or state that this version does not know, and those without
  /// a usable address, are left out. Throws PlatformError.
  static std::vector<control::VmListEntry> decode(const std::string &Body);
};

} // namespace acaciacross::platform

#endif
