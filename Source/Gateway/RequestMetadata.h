#ifndef ACACIACROSS_GATEWAY_REQUESTMETADATA_H
#define ACACIACROSS_GATEWAY_REQUESTMETADATA_H

#include "Common/Identifiers.h"

#include <chrono>
#include <optional>

namespace acaciacross::gateway {

/// Metadata that a caller sends with its request.
struct RequestMetadata {
  /// Empty when the caller sent none.
  common::RequestId Id;
  /// How long the caller waits for the answer, when it says so.
  std::optional<std::chrono::milliseconds> TimeLeft;
};

} // namespace acaciacross::gateway

#endif
