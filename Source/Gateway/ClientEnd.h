#ifndef ACACIACROSS_GATEWAY_CLIENTEND_H
#define ACACIACROSS_GATEWAY_CLIENTEND_H

#include <cstddef>
#include <cstdint>

namespace acaciacross::gateway {

/// Why this VM ended a connection of a caller before the caller did.
enum class ClientEnd : std::uint8_t {
  /// All connections together held too much memory.
  Memory,
  /// A request was larger than allowed, or had too many fields.
  Oversized,
  /// The head of a request did not arrive in time.
  SlowHead,
  /// The body of a request did not arrive in time.
  SlowBody,
  /// A response was not read in time.
  SlowAnswer,
  /// Its descriptor was needed for a new connection.
  Idle,
};

inline constexpr std::size_t ClientEndCount = 6;

/// Returns the name for logs and metrics, such as "slow_head".
const char *clientEndName(ClientEnd Cause);

} // namespace acaciacross::gateway

#endif
