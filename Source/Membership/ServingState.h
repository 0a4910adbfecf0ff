#ifndef ACACIACROSS_MEMBERSHIP_SERVINGSTATE_H
#define ACACIACROSS_MEMBERSHIP_SERVINGSTATE_H

#include <cstdint>

namespace acaciacross::membership {

/// What an entry VM says of itself to its peers.
enum class ServingState : std::uint8_t {
  /// Has no configuration in effect yet; refuses requests.
  Joining = 0,
  Serving = 1,
  /// Still serves, but is to be named in no new address answer.
  Leaving = 2,
};

} // namespace acaciacross::membership

#endif
