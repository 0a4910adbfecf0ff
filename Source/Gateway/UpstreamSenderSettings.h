#ifndef ACACIACROSS_GATEWAY_UPSTREAMSENDERSETTINGS_H
#define ACACIACROSS_GATEWAY_UPSTREAMSENDERSETTINGS_H

#include <cstddef>
#include <string>

namespace acaciacross::gateway {

/// Settings of an UpstreamSender.
struct UpstreamSenderSettings {
  /// The failure domain of this VM.
  std::string FailureDomain;
  /// Memory for all incomplete responses together.
  std::size_t MaxResponseBytes = std::size_t{32} << 20;
};

} // namespace acaciacross::gateway

#endif
