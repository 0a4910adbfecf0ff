#ifndef ACACIACROSS_STANDINS_PLATFORM_VMENTRY_H
#define ACACIACROSS_STANDINS_PLATFORM_VMENTRY_H

#include <cstdint>
#include <string>

namespace acaciacross::standins {

/// One VM of the platform's VM list.
struct VmEntry {
  std::string Id;
  /// "entry" or "upstream".
  std::string Kind;
  std::string Host;
  std::uint16_t Port = 0;
  /// "live" or "leaving".
  std::string State;
};

} // namespace acaciacross::standins

#endif
