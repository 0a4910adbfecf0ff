#ifndef ACACIACROSS_STANDINS_PLATFORM_PLATFORMCODEC_H
#define ACACIACROSS_STANDINS_PLATFORM_PLATFORMCODEC_H

#include "StandIns/Platform/ChangesReply.h"
#include "StandIns/Platform/VmEntry.h"

#include <optional>
#include <string>
#include <vector>

namespace acaciacross::standins {

/// Encodes and decodes the JSON of the platform's protocol.
class PlatformCodec {
public:
  static std::string encode(const ChangesReply &Reply);
  static std::string encode(const std::vector<VmEntry> &List);
  static std::string encodeRevision(std::uint64_t Revision);

  /// Empty when the text is not a valid VM list.
  static std::optional<std::vector<VmEntry>> decodeVms(const std::string &Text);
};

} // namespace acaciacross::standins

#endif
