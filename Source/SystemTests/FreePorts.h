#ifndef ACACIACROSS_SYSTEMTESTS_FREEPORTS_H
#define ACACIACROSS_SYSTEMTESTS_FREEPORTS_H

#include <cstdint>
#include <string>

namespace acaciacross::systemtests {

/// Hands out loopback ports that are free for TCP and UDP.
class FreePorts {
public:
  FreePorts();

  /// "127.0.0.1:port"; never the same twice.
  /// \throws std::runtime_error when none is left.
  std::string next();

private:
  std::uint32_t Candidate;
};

} // namespace acaciacross::systemtests

#endif
