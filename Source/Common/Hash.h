#ifndef ACACIACROSS_COMMON_HASH_H
#define ACACIACROSS_COMMON_HASH_H

#include <cstdint>
#include <string_view>

namespace acaciacross::common {

/// XXH3 of the bytes; the same on every VM and in every version.
std::uint64_t stableHash(std::string_view Bytes);

} // namespace acaciacross::common

#endif
