#ifndef ACACIACROSS_DISCOVERY_STOREITEM_H
#define ACACIACROSS_DISCOVERY_STOREITEM_H

#include <cstdint>
#include <string>

namespace acaciacross::discovery {

/// One published value.
struct StoreItem {
  std::string Key;
  std::string Value;
  std::uint64_t Revision = 0;
};

} // namespace acaciacross::discovery

#endif
