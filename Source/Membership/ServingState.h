#ifndef ACACIACROSS_MEMBERSHIP_SERVINGSTATE_H
#define ACACIACROSS_MEMBERSHIP_SERVINGSTATE_H

#include <cstdint>

namespace acaciacross::membership {

/// State that an entry VM reports to its peers.
enum class ServingState : std::uint8_t {
  /// No configuration is in effect yet; refuses requests.
  Joining = 0,
  Serving = 1,
  /// Still serves, but must not be listed in new address answers.
  Leaving = 2,
};

} // namespace acaciacross::membership

#endif
