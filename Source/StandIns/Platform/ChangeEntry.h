#ifndef ACACIACROSS_STANDINS_PLATFORM_CHANGEENTRY_H
#define ACACIACROSS_STANDINS_PLATFORM_CHANGEENTRY_H

#include <cstdint>
#include <string>

namespace acaciacross::standins {

/// One published value of a key.
struct ChangeEntry {
  std::string Key;
  std::uint64_t Revision = 0;
  std::string Text;
};

} // namespace acaciacross::standins

#endif
