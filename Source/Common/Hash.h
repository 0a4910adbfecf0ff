#ifndef ACACIACROSS_COMMON_HASH_H
#define ACACIACROSS_COMMON_HASH_H

#include <cstdint>
#include <string_view>

namespace acaciacross::common {

/// Returns the XXH3 hash of the bytes, which is the same on every VM and in
/// every version.
std::uint64_t stableHash(std::string_view Bytes);

} // namespace acaciacross::common

#endif
