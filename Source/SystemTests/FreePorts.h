#ifndef ACACIACROSS_SYSTEMTESTS_FREEPORTS_H
#define ACACIACROSS_SYSTEMTESTS_FREEPORTS_H

#include <cstdint>
#include <string>

namespace acaciacross::systemtests {

/// Finds loopback ports that are free for both TCP and UDP.
class FreePorts {
public:
  FreePorts();

  /// Returns the next free address as "127.0.0.1:port", a new one on each call.
  /// \throws std::runtime_error when no port is free.
  std::string next();

private:
  std::uint32_t Candidate;
};

} // namespace acaciacross::systemtests

#endif
