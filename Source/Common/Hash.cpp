#include "Common/Hash.h"

#include <xxhash.h>

namespace acaciacross::common {

std::uint64_t stableHash(std::string_view Bytes) {
  return XXH3_64bits(Bytes.data(), Bytes.size());
}

} // namespace acaciacross::common
