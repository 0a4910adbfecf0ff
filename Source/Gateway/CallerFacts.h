#ifndef ACACIACROSS_GATEWAY_CALLERFACTS_H
#define ACACIACROSS_GATEWAY_CALLERFACTS_H

#include "Common/Identifiers.h"

#include <chrono>
#include <optional>

namespace acaciacross::gateway {

/// What a caller says of its request besides the request itself.
struct CallerFacts {
  /// Empty when the caller gave none.
  common::RequestId Id;
  /// How long the caller waits for the answer.
  std::optional<std::chrono::milliseconds> TimeLeft;
};

} // namespace acaciacross::gateway

#endif
